package tracing

import (
	"fmt"
	"strings"
	"testing"
)

func TestRingIsBoundedAndReportsHistoryStart(t *testing.T) {
	ring := NewRing(4)
	ring.Record("a", "taken", 1, "")
	ring.Record("a.0.0.1", "started", 1, "")
	ring.Record("ab", "taken", 1, "")
	got, since := ring.History("a")
	if len(got) != 2 || since != 0 {
		t.Fatalf("%d events since %d", len(got), since)
	}
	for i := range 4 {
		ring.Record("c", fmt.Sprint(i), 0, "")
	}
	if got, since = ring.History("a"); len(got) != 0 || since == 0 {
		t.Fatalf("the ring does not report that events were overwritten: %d events since %d", len(got), since)
	}
	if got, _ = ring.History("c"); len(got) != 4 || got[0].Action != "0" || got[3].Action != "3" {
		t.Fatalf("order: %v", got)
	}
}

func TestNilRingRecordsNothing(t *testing.T) {
	var ring *Ring
	ring.Record("a", "taken", 0, "")
}

// TestLongSubjectsAreNotRecorded guards against a ring that holds megabytes of the paths that clients
// send.
func TestLongSubjectsAreNotRecorded(t *testing.T) {
	ring := NewRing(4)
	long := strings.Repeat("x", maxSubjectBytes+1)
	ring.Record(long, "taken", 0, "")
	ring.Record(long[1:], "taken", 0, "")
	if events, _ := ring.History(long); len(events) != 0 {
		t.Error("the long subject is recorded")
	}
	if events, _ := ring.History(long[1:]); len(events) != 1 {
		t.Error("the longest allowed subject is not recorded")
	}
}
