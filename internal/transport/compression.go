package transport

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
)

// streamCompressionLevel is the level of compress/flate for repetitive frames.
const streamCompressionLevel = 3

// compressedFlag marks the kind of a frame whose body is compressed.
const compressedFlag = 0x80

// bodyCompressor compresses the bodies of a stream's frames, each in the context of those
// before it: entries of a log and assignments repeat names of jobs and nodes, so that alone
// they hardly get smaller. It belongs to the task that sends the stream's frames. Its tables
// take some 0.8 MB, so it exists only once a frame asks for it.
type bodyCompressor struct {
	writer *flate.Writer
	out    bytes.Buffer
}

// compress returns the length of a body and the body compressed. The result is valid until
// the next call.
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

// bodyDecompressor is the other end of a bodyCompressor. A body ends with a flush, so that it
// can be read without what follows it.
type bodyDecompressor struct {
	in     bytes.Buffer
	reader io.Reader
}

// decompress returns the body of a frame. After an error the stream is of no more use.
func (d *bodyDecompressor) decompress(raw []byte) ([]byte, error) {
	size, n := binary.Uvarint(raw)
	if n <= 0 || size > MaxFrameBytes {
		return nil, Error.New("a compressed body of %d bytes", size)
	}
	d.in.Write(raw[n:])
	if d.reader == nil {
		d.reader = flate.NewReader(&d.in)
	}
	// The length is what a peer says: memory grows with what is there.
	var body bytes.Buffer
	if copied, err := io.CopyN(&body, d.reader, int64(size)); err != nil {
		return nil, Error.New("a compressed body ends after %d of %d bytes: %v", copied, size, err)
	}
	return body.Bytes(), nil
}
