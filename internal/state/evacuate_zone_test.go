package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestEvacuatedZoneGetsNoNewWork: its workers are not schedulable, plans that were made
// before are refused, and agents are told again of what runs there.
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
		t.Fatalf("%+v", outcome)
	}
	if s.Workers["here"].Schedulable() || !s.Workers["there"].Schedulable() || s.Workers["here"].Version == version {
		t.Errorf("%+v, %+v", s.Workers["here"], s.Workers["there"])
	}
	if _, workers := s.SchedulableCapacity("s"); workers != 1 {
		t.Errorf("%d workers count as schedulable", workers)
	}
	if changed := s.TakeChangedRuns(); len(changed) != 1 || changed[0] != 7 {
		t.Errorf("agents are told of %v", changed)
	}
	// A worker that registers meanwhile gets nothing either, nor after a restart.
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
		t.Errorf("%+v", outcome)
	}
}

// TestLateCopyOfAnEvacuationIsRefused: each order names the one that it follows, and raises
// the revision also where it changes nothing.
func TestLateCopyOfAnEvacuationIsRefused(t *testing.T) {
	s := New(Limits{})
	begin, finish := &EvacuateZone{Zone: "z", Evacuated: true}, &EvacuateZone{Zone: "z"}
	if outcome := finish.Apply(s); outcome.Code != CodeOK || outcome.Value != 1 {
		t.Fatalf("%+v", outcome)
	}
	if outcome := begin.Apply(s); outcome.Code != CodePreconditionFailed || outcome.Value != 1 {
		t.Errorf("a late copy: %+v", outcome)
	}
	if _, evacuated := s.IsEvacuated("z"); evacuated {
		t.Error("the zone is evacuated by a late copy")
	}
}
