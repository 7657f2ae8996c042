package transport

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

const (
	// minCompressedBytes is the least size of a body that is compressed, in bytes; heartbeats and
	// acknowledgements are smaller.
	minCompressedBytes = 128
	// maxFrameElements is the number of elements of one list or map in a frame.
	maxFrameElements = 1 << 16
	// maxFrameNesting is how deep lists in a frame may be nested, in levels.
	maxFrameNesting = 12
)

// Frame is one message between daemons. What the kinds mean, and whether the ID
// joins a response to its request, is up to the daemons.
type Frame struct {
	Kind byte
	ID   uint64
	Body []byte // see Encode
	// Repetitive says that the body repeats much of those before it on the stream. Such
	// bodies are compressed, which costs memory for each stream that has any.
	Repetitive bool
}

// frameHeaderBytes is the size of kind and ID before the body.
const frameHeaderBytes = 9

// frameEncoding encodes a frame as its kind, its ID (big-endian) and its body. It is that of
// one direction of one stream, since a compressed body rests on those before it.
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
		return Error.New("short frame")
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

// Encode encodes the body of a frame as CBOR. It panics if the type has no CBOR
// form, which is an error in the program.
func Encode(body any) []byte {
	raw, err := cbor.Marshal(body)
	if err != nil {
		panic("link: " + err.Error())
	}
	return raw
}

// decoder decodes the bodies of frames. A body is checked as a whole before anything
// is allocated for it, so that a length can't promise more than is there; these
// limits keep a few bytes from becoming a large number of elements.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxFrameElements,
		MaxMapPairs:      maxFrameElements,
		MaxNestedLevels:  maxFrameNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic("link: " + err.Error())
	}
	return mode
}()

// Decode decodes the body of a frame. Errors are of class Error.
func Decode(raw []byte, body any) error { return Error.Wrap(decoder.Unmarshal(raw, body)) }
