package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestEvacuatedZoneGetsNoNewWork checks that the workers of an evacuated zone are not
// schedulable, that their versions change so that earlier plans are refused, and that
// agents are notified again of the runs there.
func TestEvacuatedZoneGetsNoNewWork(t *testing.T) {
	s := New(Limits{})
	for _, id := range []string{"here", "there"} {
		(&RegisterWorker{ID: id, Node: id, Service: "s", Zone: "zone-" + id, Labels: []string{"rack"}, Capacity: protocol.Resources{CPUUnits: 10}}).Apply(s)
	}
	s.Allocations[7] = &Allocation{ID: 7, Worker: "here"}
	s.indexAllocation(s.Allocations[7])
	version := s.Workers["here"].Version
	order := func(evacuated bool, base int64) Outcome {
		return (&EvacuateZone{Zone: "zone-here", Evacuated: evacuated, BaseRevision: base}).Apply(s)
	}
	if outcome := order(true, 0); outcome.Code != CodeOK || outcome.Value != 1 {
		t.Fatalf("evacuation: outcome %+v, want CodeOK and value 1", outcome)
	}
	if s.Workers["here"].Schedulable() || !s.Workers["there"].Schedulable() || s.Workers["here"].Version == version {
		t.Errorf("after the evacuation of zone-here: workers %+v, %+v", s.Workers["here"], s.Workers["there"])
	}
	if _, workers := s.SchedulableCapacity("s"); workers != 1 {
		t.Errorf("%d workers are schedulable, want 1", workers)
	}
	if changed := s.TakeChangedRuns(); len(changed) != 1 || changed[0] != 7 {
		t.Errorf("agents are notified of runs %v, want [7]", changed)
	}
	// A worker that registers during the evacuation is not schedulable either, also after
	// a restore from a snapshot.
	(&RegisterWorker{ID: "late", Node: "late", Service: "s", Zone: "zone-here", Labels: []string{"rack"}, Capacity: protocol.Resources{CPUUnits: 10}}).Apply(s)
	restored, err := DecodeSnapshot(s.EncodeSnapshot(), Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for _, store := range []*Store{s, restored} {
		if store.Workers["late"].Schedulable() || store.Workers["here"].Schedulable() {
			t.Error("a worker of an evacuated zone is schedulable")
		}
	}
	if outcome := order(false, 1); outcome.Code != CodeOK || !s.Workers["here"].Schedulable() || !s.Workers["late"].Schedulable() {
		t.Errorf("end of the evacuation: outcome %+v, want CodeOK and schedulable workers", outcome)
	}
}

// TestDelayedDuplicateOfEvacuationIsRefused checks that EvacuateZone increases the revision
// even if it changes nothing else, so that a delayed duplicate of an earlier command, with
// an older BaseRevision, is refused.
func TestDelayedDuplicateOfEvacuationIsRefused(t *testing.T) {
	s := New(Limits{})
	begin, finish := &EvacuateZone{Zone: "z", Evacuated: true}, &EvacuateZone{Zone: "z"}
	if outcome := finish.Apply(s); outcome.Code != CodeOK || outcome.Value != 1 {
		t.Fatalf("end of an evacuation: outcome %+v, want CodeOK and value 1", outcome)
	}
	if outcome := begin.Apply(s); outcome.Code != CodePreconditionFailed || outcome.Value != 1 {
		t.Errorf("delayed duplicate: outcome %+v, want CodePreconditionFailed and value 1", outcome)
	}
	if _, evacuated := s.IsEvacuated("z"); evacuated {
		t.Error("a delayed duplicate evacuated the zone")
	}
}
