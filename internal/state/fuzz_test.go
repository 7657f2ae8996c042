package state

import (
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// FuzzDecodeSnapshot checks that decoding a corrupted snapshot returns an error or a state
// and never panics, and that a decoded state can be encoded and decoded again.
func FuzzDecodeSnapshot(f *testing.F) {
	s := New(Limits{JobRetentionMs: 1000, MaxReplans: 2, RemoteFactor: 1})
	f.Add(s.EncodeSnapshot())
	s.Configuration.Version = 3
	s.WithdrawnOffers = map[string]int64{"a": 1}
	s.Workers["w"] = &Worker{}
	s.Jobs["j"] = &Job{ID: "j", PeriodicInstances: 3}
	s.Allocations[7] = &Allocation{ID: 7, Worker: "w"}
	s.Devices["d"] = &Device{}
	f.Add(s.EncodeSnapshot())
	for _, t := range []string{"Jobs", "Workers", "Devices", "Allocs", "Services", "Lanes"} {
		raw, err := cbor.Marshal(map[string]any{t: map[string]any{"1": nil}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{0xa1, 0x64, 'J', 'o', 'b', 's', 0xf6})
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // a map that claims 2^64-1 entries
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := DecodeSnapshot(raw, Limits{})
		if err != nil {
			return
		}
		if _, err := DecodeSnapshot(s.EncodeSnapshot(), Limits{}); err != nil {
			t.Fatalf("cannot decode the encoding of a decoded state: %v", err)
		}
	})
}

// TestLargeTablesAreDecoded guards against a state with more rows than the library's default
// limit that is saved but cannot be loaded again, neither after a restart nor by a member
// that receives the snapshot.
func TestLargeTablesAreDecoded(t *testing.T) {
	const rows = 140_000
	s := New(Limits{})
	s.WithdrawnOffers = map[string]int64{}
	for i := range rows {
		s.WithdrawnOffers[strconv.Itoa(i)] = int64(i)
	}
	got, err := DecodeSnapshot(s.EncodeSnapshot(), Limits{})
	if err != nil || len(got.WithdrawnOffers) != rows {
		t.Fatal(err)
	}
}
