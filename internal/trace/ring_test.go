package trace

import (
	"fmt"
	"testing"
)

func TestRingIsBoundedAndSaysSinceWhen(t *testing.T) {
	r := NewRing(4)
	r.Add("a", "taken", 1, "")
	r.Add("a.0.0.1", "started", 1, "")
	r.Add("ab", "taken", 1, "")
	got, since := r.Of("a")
	if len(got) != 2 || since != 0 {
		t.Fatalf("%d marks since %d", len(got), since)
	}
	for i := range 4 {
		r.Add("c", fmt.Sprint(i), 0, "")
	}
	if got, since = r.Of("a"); len(got) != 0 || since == 0 {
		t.Fatalf("a ring that forgot does not say so: %d, %d", len(got), since)
	}
	if got, _ = r.Of("c"); len(got) != 4 || got[0].What != "0" || got[3].What != "3" {
		t.Fatalf("order: %v", got)
	}
}

func TestNilRingNotesNothing(t *testing.T) {
	var r *Ring
	r.Add("a", "taken", 0, "")
}
