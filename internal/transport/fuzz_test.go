package transport

import (
	"bytes"
	"testing"
)

// FuzzFrame checks that arbitrary bytes decode to a frame or an error, and that an uncompressed frame encodes
// to the same bytes.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 2, 3})
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 9})
	f.Add([]byte{0x81, 0, 0, 0, 0, 0, 0, 0, 9, 3, 0})
	if compressed, err := new(frameEncoding).Marshal(&Frame{Kind: 1, Body: bytes.Repeat([]byte("entry"), 100), Repetitive: true}); err == nil {
		f.Add(compressed)
	}
	f.Add(append([]byte{2, 0, 0, 0, 0, 0, 0, 0, 9}, Encode([]string{"a", "b"})...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var frame Frame
		isCompressed := len(raw) > 0 && raw[0]&compressedFlag != 0
		if err := new(frameEncoding).Unmarshal(raw, &frame); err != nil {
			if len(raw) >= 9 && !isCompressed {
				t.Fatal(err)
			}
			return
		}
		frame.Repetitive = isCompressed
		again, err := new(frameEncoding).Marshal(&frame)
		if isCompressed {
			// A body has many compressed forms, so compare the decoded bodies.
			var reread Frame
			if err := new(frameEncoding).Unmarshal(again, &reread); err != nil || !bytes.Equal(reread.Body, frame.Body) {
				t.Fatalf("%x became %x: %v", frame.Body, reread.Body, err)
			}
			return
		}
		if err != nil || !bytes.Equal(again, raw) {
			t.Fatalf("%x became %x: %v", raw, again, err)
		}
		var body any
		_ = Decode(frame.Body, &body)
	})
}

// TestOversizedBodiesAreRejected checks that a malicious body cannot make the decoder use excessive memory or stack.
func TestOversizedBodiesAreRejected(t *testing.T) {
	deep := bytes.Repeat([]byte{0x81}, 20)
	wide := append([]byte{0x9a, 0, 1, 0x86, 0xa0}, make([]byte, 100_000)...)
	for name, raw := range map[string][]byte{
		"deep":       append(deep, 0),
		"wide":       wide,
		"indefinite": {0x9f, 0, 0xff},
		"promised":   {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		var v any
		if Decode(raw, &v) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
