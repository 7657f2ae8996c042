package transport

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
)

// streamCompressionLevel is the compress/flate level for repetitive frames.
const streamCompressionLevel = 3

// compressedFlag is set in the kind of a frame whose body is compressed.
const compressedFlag = 0x80

// bodyCompressor compresses the bodies of the frames of a stream, each in the context of the earlier
// ones. Log entries and assignments repeat the names of jobs and nodes across frames, but a single one
// hardly compresses. It is used only by the goroutine that sends the frames of the stream. Its tables
// take about 0.8 MB, so they are allocated only when the first frame is compressed.
type bodyCompressor struct {
	writer *flate.Writer
	out    bytes.Buffer
}

// compress returns the length of a body (as a varint) followed by the compressed body. The result is valid
// until the next call.
func (c *bodyCompressor) compress(body []byte) ([]byte, error) {
	c.out.Reset()
	c.out.Write(binary.AppendUvarint(nil, uint64(len(body))))
	if c.writer == nil {
		writer, err := flate.NewWriter(&c.out, streamCompressionLevel)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		c.writer = writer
	}
	if _, err := c.writer.Write(body); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := c.writer.Flush(); err != nil {
		return nil, Error.Wrap(err)
	}
	return c.out.Bytes(), nil
}

// bodyDecompressor decompresses the output of a bodyCompressor. Each body ends with a flush, so that it
// can be read before the next one arrives.
type bodyDecompressor struct {
	in     bytes.Buffer
	reader io.Reader
}

// decompress returns the body of a frame. After an error the stream can no longer be decompressed.
func (d *bodyDecompressor) decompress(raw []byte) ([]byte, error) {
	size, n := binary.Uvarint(raw)
	if n <= 0 || size > MaxFrameBytes {
		return nil, Error.New("compressed body has an invalid length or is too large: %d bytes", size)
	}
	d.in.Write(raw[n:])
	if d.reader == nil {
		d.reader = flate.NewReader(&d.in)
	}
	// The length comes from the peer and is not trusted: the buffer grows only with the data that is read.
	var body bytes.Buffer
	if copied, err := io.CopyN(&body, d.reader, int64(size)); err != nil {
		return nil, Error.New("compressed body ends after %d of %d bytes: %v", copied, size, err)
	}
	return body.Bytes(), nil
}
