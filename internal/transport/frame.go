package transport

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

const (
	// minCompressedBytes is the minimum size of a body that is compressed, in bytes. Heartbeats and
	// acknowledgements are smaller.
	minCompressedBytes = 128
	// maxFrameElements is the maximum number of elements of a list or map in a frame.
	maxFrameElements = 1 << 16
	// maxFrameNesting is the maximum nesting depth of a frame body, in levels.
	maxFrameNesting = 12
)

// Frame is one message between daemons. The daemons define the meaning of the kinds, and whether the ID
// correlates a response with its request.
type Frame struct {
	Kind byte
	ID   uint64
	Body []byte // see Encode
	// Repetitive marks a body that repeats much of the earlier bodies on the stream. Such
	// bodies are compressed, which uses memory for each stream that carries them.
	Repetitive bool
}

// frameHeaderBytes is the size of the kind and ID that precede the body, in bytes.
const frameHeaderBytes = 9

// frameEncoding encodes a frame as its kind, its ID (big-endian) and its body. Each direction of
// each stream needs its own, since the compression of a body depends on the earlier bodies.
type frameEncoding struct {
	compressor   bodyCompressor
	decompressor bodyDecompressor
}

func (e *frameEncoding) Marshal(message drpc.Message) ([]byte, error) {
	frame := message.(*Frame)
	kind, body := frame.Kind, frame.Body
	if frame.Repetitive && len(body) >= minCompressedBytes {
		compressed, err := e.compressor.compress(body)
		if err != nil {
			return nil, err
		}
		kind, body = kind|compressedFlag, compressed
	}
	raw := make([]byte, frameHeaderBytes+len(body))
	raw[0] = kind
	binary.BigEndian.PutUint64(raw[1:], frame.ID)
	copy(raw[frameHeaderBytes:], body)
	return raw, nil
}

func (e *frameEncoding) Unmarshal(raw []byte, message drpc.Message) error {
	if len(raw) < frameHeaderBytes {
		return Error.New("truncated frame")
	}
	frame := message.(*Frame)
	frame.Kind = raw[0] &^ compressedFlag
	frame.ID = binary.BigEndian.Uint64(raw[1:])
	if raw[0]&compressedFlag != 0 {
		body, err := e.decompressor.decompress(raw[frameHeaderBytes:])
		frame.Body = body
		return err
	}
	frame.Body = append([]byte(nil), raw[frameHeaderBytes:]...)
	return nil
}

// Encode encodes the body of a frame as CBOR. It panics if the type cannot be encoded as
// CBOR, which is a programming error.
func Encode(body any) []byte {
	raw, err := cbor.Marshal(body)
	if err != nil {
		panic("transport: " + err.Error())
	}
	return raw
}

// decoder decodes the bodies of frames. It validates a whole body before it allocates
// memory for it, so that a declared length cannot exceed the data that is present. The
// limits prevent a few bytes from decoding to a large number of elements.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxFrameElements,
		MaxMapPairs:      maxFrameElements,
		MaxNestedLevels:  maxFrameNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic("transport: " + err.Error())
	}
	return mode
}()

// Decode decodes the body of a frame. Errors are of class Error.
func Decode(raw []byte, body any) error { return Error.Wrap(decoder.Unmarshal(raw, body)) }
