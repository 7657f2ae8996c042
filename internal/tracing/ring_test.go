package tracing

import (
	"fmt"
	"testing"
)

func TestRingIsBoundedAndReportsHistoryStart(t *testing.T) {
	r := NewRing(4)
	r.Record("a", "taken", 1, "")
	r.Record("a.0.0.1", "started", 1, "")
	r.Record("ab", "taken", 1, "")
	got, since := r.History("a")
	if len(got) != 2 || since != 0 {
		t.Fatalf("%d marks since %d", len(got), since)
	}
	for i := range 4 {
		r.Record("c", fmt.Sprint(i), 0, "")
	}
	if got, since = r.History("a"); len(got) != 0 || since == 0 {
		t.Fatalf("a ring that forgot does not say so: %d, %d", len(got), since)
	}
	if got, _ = r.History("c"); len(got) != 4 || got[0].Action != "0" || got[3].Action != "3" {
		t.Fatalf("order: %v", got)
	}
}

func TestNilRingRecordsNothing(t *testing.T) {
	var r *Ring
	r.Record("a", "taken", 0, "")
}
