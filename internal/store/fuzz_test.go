package store

import (
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// FuzzLoad: a snapshot that was changed on its way is an error or a state, but
// never a panic; a state that loads saves and loads again to the same bytes.
func FuzzLoad(f *testing.F) {
	s := New(Limits{KeepJobMs: 1000, Replans: 2, Far: 1})
	f.Add(s.Save())
	s.Desired.Version = 3
	s.Voids = map[string]int64{"a": 1}
	s.Workers["w"] = &Worker{}
	s.Jobs["j"] = &Job{ID: "j", RunTimes: 3}
	s.Allocs[7] = &Alloc{ID: 7, Worker: "w"}
	s.Devices["d"] = &Device{}
	f.Add(s.Save())
	for _, t := range []string{"Jobs", "Workers", "Devices", "Allocs", "Services", "Lanes"} {
		raw, err := cbor.Marshal(map[string]any{t: map[string]any{"1": nil}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{0xa1, 0x64, 'J', 'o', 'b', 's', 0xf6})
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // a table of 2^64 rows
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Load(raw, Limits{})
		if err != nil {
			return
		}
		if _, err := Load(s.Save(), Limits{}); err != nil {
			t.Fatalf("what was loaded and saved does not load: %v", err)
		}
	})
}

// A state of more rows than the library's own bound was saved and then never
// loaded again, at a restart or by a member that was sent it.
func TestLargeTablesLoadAgain(t *testing.T) {
	const rows = 140_000
	s := New(Limits{})
	s.Voids = map[string]int64{}
	for i := range rows {
		s.Voids[strconv.Itoa(i)] = int64(i)
	}
	got, err := Load(s.Save(), Limits{})
	if err != nil || len(got.Voids) != rows {
		t.Fatal(err)
	}
}
