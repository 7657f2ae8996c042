package state

import (
	"testing"

	"tealpond/internal/protocol"
)

func newLoanFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	if o := f.apply("lend", &LendCapacity{ID: "l", Peer: "p", Service: "s", MilliCPU: 100, MinMilliCPU: 50, DurationMs: 1000, Slices: 4, SliceMilliCPU: 25}); o.Code != 200 || o.Value != 100 {
		t.Fatalf("loan: %+v", o)
	}
	return f
}

func (f *fixture) acceptJob(no int64, loan string) Outcome {
	return f.apply("accept", &AcceptJob{Peer: "p", OfferID: no, ID: "j", Route: "a", Loan: loan, Job: protocol.Job{Steps: []protocol.Step{{TaskCount: 4, CPUUnits: 50}}}})
}

func TestCapacityIsLentOnce(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.apply("lend", &LendCapacity{ID: "m", Peer: "p", Service: "s", MilliCPU: 25, MinMilliCPU: 25, DurationMs: 1000, Slices: 4, SliceMilliCPU: 25}); o.Code != 409 {
		t.Fatalf("lent twice: %+v", o)
	}
	f.now += 2000
	if o := f.apply("lend", &LendCapacity{ID: "n", Peer: "p", Service: "s", MilliCPU: 25, MinMilliCPU: 25, DurationMs: 1000, Slices: 4, SliceMilliCPU: 25}); o.Code != 200 {
		t.Fatalf("not lent again after the end: %+v", o)
	}
}

func TestOfferIsAcceptedAtMostOnce(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.acceptJob(7, "l"); o.Text != "taken" {
		t.Fatalf("%+v", o)
	}
	if o := f.acceptJob(7, "l"); o.Text != "taken" || len(f.store.Jobs) != 1 {
		t.Fatalf("repeated: %+v", o)
	}
	if o := f.apply("void", &VoidOffer{Peer: "p", OfferID: 7, ID: "j"}); o.Text != "taken" {
		t.Fatalf("a void of what was taken: %+v", o)
	}
	f.apply("release", &ReleaseJob{Peer: "p", OfferID: 7, ID: "j"})
	delete(f.store.Jobs, "j")
	if o := f.acceptJob(7, "l"); o.Text != "refused" {
		t.Fatalf("a late copy after its end was released: %+v", o)
	}
}

func TestVoidedOfferIsNeverAccepted(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.apply("void", &VoidOffer{Peer: "p", OfferID: 7, ID: "j"}); o.Text != "voided" {
		t.Fatalf("%+v", o)
	}
	if o := f.acceptJob(7, "l"); o.Text != "refused" || f.store.Jobs["j"] != nil {
		t.Fatalf("%+v", o)
	}
	if o := f.acceptJob(8, "l"); o.Text != "taken" {
		t.Fatalf("a newer offer: %+v", o)
	}
}

func TestRefusalHolds(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.acceptJob(7, "none"); o.Text != "refused" {
		t.Fatalf("%+v", o)
	}
	if o := f.acceptJob(7, "l"); o.Text != "refused" {
		t.Fatalf("a refused offer was taken later: %+v", o)
	}
}

func TestIncomingJobsStayWithinTheLoan(t *testing.T) {
	f := newLoanFixture(t)
	f.acceptJob(7, "l")
	a := f.store.Workers["a"]
	var items []Placement
	for i := range 4 {
		items = append(items, Placement{TaskIndex: i, Worker: "a", WorkerVersion: a.Version})
	}
	f.applyPlan("j", 0, false, items...)
	if a.UsedMilliCPU != 100 {
		t.Fatalf("guests hold %d of a loan of 100", a.UsedMilliCPU)
	}
}

func TestOfferedJobDoesNotStartAtTheSource(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	f.submit("j", protocol.Step{TaskCount: 1})
	no := f.apply("offer", &OfferJob{Job: "j", Peer: "p"}).Value
	f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version})
	if len(f.store.Allocations) != 0 {
		t.Fatal("it runs here while the peer may have it")
	}
	say := func(what string, index uint64) Outcome {
		return f.apply("settle", &SettleTransfer{Job: "j", OfferID: no, Peer: "p", Epoch: "e", Index: index, Answer: what})
	}
	if o := f.apply("cancel", &CancelJob{ID: "j"}); o.Code != 202 {
		t.Fatalf("called off while the peer may run it: %+v", o)
	}
	say("taken", 9)
	if o := say("voided", 10); o.Code != 409 {
		t.Fatalf("a peer that denies what it took is believed: %+v", o)
	}
	if o := say("done", 5); o.Code != 409 || f.store.Jobs["j"].Done {
		t.Fatalf("a peer with an older state is believed: %+v", o)
	}
	if o := f.apply("settle", &SettleTransfer{Job: "j", OfferID: no, Peer: "p", Epoch: "other", Index: 50, Answer: "done"}); o.Code != 409 {
		t.Fatalf("another history is believed: %+v", o)
	}
	if say("done", 11); !f.store.Jobs["j"].Done {
		t.Fatal("its end isn't kept")
	}
	if say("released", 12); f.store.Jobs["j"].heldForPeer() {
		t.Fatal("kept after it was released")
	}
}

func TestVoidedJobStartsAtTheSource(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	f.submit("j", protocol.Step{TaskCount: 1})
	no := f.apply("offer", &OfferJob{Job: "j", Peer: "p"}).Value
	f.apply("settle", &SettleTransfer{Job: "j", OfferID: no, Peer: "p", Epoch: "e", Index: 1, Answer: "voided"})
	f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version})
	if len(f.store.Allocations) != 1 {
		t.Fatal("it does not start at home")
	}
}
