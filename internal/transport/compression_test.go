package transport

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"
)

// TestRepetitiveFramesAreCompressed checks that compressed and uncompressed frames of a stream decode to what was
// encoded, and that repetitive frames take less space.
func TestRepetitiveFramesAreCompressed(t *testing.T) {
	sender, receiver := &frameEncoding{}, &frameEncoding{}
	random := rand.New(rand.NewSource(1))
	sent, received := 0, 0
	for i := range 2000 {
		frame := Frame{Kind: byte(1 + random.Intn(100)), ID: random.Uint64(), Repetitive: random.Intn(4) > 0}
		for range random.Intn(8) {
			frame.Body = fmt.Appendf(frame.Body, "%016x.0.%d.%d side-%d;", random.Intn(20), random.Intn(3), random.Intn(40), random.Intn(60))
		}
		if random.Intn(50) == 0 {
			frame.Body = make([]byte, 1<<random.Intn(18))
			_, _ = random.Read(frame.Body)
		}
		raw, err := sender.Marshal(&frame)
		if err != nil {
			t.Fatal(err)
		}
		var got Frame
		if err := receiver.Unmarshal(raw, &got); err != nil {
			t.Fatalf("frame %d: %v", i, err)
		}
		if got.Kind != frame.Kind || got.ID != frame.ID || !bytes.Equal(got.Body, frame.Body) {
			t.Fatalf("frame %d differs", i)
		}
		if frame.Repetitive && len(frame.Body) < 1000 {
			sent, received = sent+len(raw), received+frameHeaderBytes+len(frame.Body)
		}
	}
	if sent*3 > received*2 {
		t.Errorf("%d bytes were sent for %d uncompressed bytes", sent, received)
	}
}

// TestDamagedCompressedBodiesAreRejected checks that truncated bodies and false lengths give an error, without a
// panic or a large allocation. Other damage is not tested, since the checksums of the connection detect it.
func TestDamagedCompressedBodiesAreRejected(t *testing.T) {
	raw, err := new(frameEncoding).Marshal(&Frame{Kind: 1, Body: bytes.Repeat([]byte("entry"), 100), Repetitive: true})
	if err != nil {
		t.Fatal(err)
	}
	for name, damaged := range map[string][]byte{
		"cut":           raw[:len(raw)-6],
		"no length":     raw[:frameHeaderBytes],
		"long promise":  append(append(bytes.Clone(raw[:frameHeaderBytes]), 0xff, 0xff, 0xff, 0xff, 0x7f), raw[frameHeaderBytes+2:]...),
		"more promised": append(append(bytes.Clone(raw[:frameHeaderBytes]), 0xff, 0xff, 0x7f), raw[frameHeaderBytes+2:]...),
	} {
		var frame Frame
		if err := new(frameEncoding).Unmarshal(damaged, &frame); err == nil {
			t.Errorf("%s: decoded %d bytes, want an error", name, len(frame.Body))
		}
	}
}
