package transport

import (
	"testing"

	"tealpond/internal/golden"
)

// TestFrameBytes compares the encoding of frames and the name of the RPC with the golden files.
func TestFrameBytes(t *testing.T) {
	codec := golden.Codec{
		Encode: func(value any) ([]byte, error) { return new(frameEncoding).Marshal(value) },
		Decode: func(raw []byte, into any) error { return new(frameEncoding).Unmarshal(raw, into) },
	}
	golden.Check(t, "frames.txt", codec, []golden.Case{
		{Name: "frame", Value: &Frame{Kind: 2, ID: 0x0102030405060708, Body: []byte("body")}},
	})
	golden.Text(t, "names.txt", "rpc "+joinRPC+"\n")
}
