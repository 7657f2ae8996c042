package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// lend lends CPU of service s to peer p for a second; the service has four slices of
// 25 thousandths of a core.
func (f *fixture) lend(id string, milliCPU, minMilliCPU int64) Outcome {
	f.t.Helper()
	return f.apply(&LendCapacity{
		ID:            id,
		Peer:          "p",
		Service:       "s",
		MilliCPU:      milliCPU,
		MinMilliCPU:   minMilliCPU,
		DurationMs:    1000,
		Slices:        4,
		SliceMilliCPU: 25,
	})
}

// newLoanFixture makes a state that lends 100 thousandths of a core to a peer.
func newLoanFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	if o := f.lend("l", 100, 50); o.Code != CodeOK || o.Value != 100 {
		t.Fatalf("loan: %+v", o)
	}
	return f
}

// acceptJob accepts, or refuses, a peer's offer of job j under a loan.
func (f *fixture) acceptJob(offerID int64, loan string) Outcome {
	f.t.Helper()
	job := protocol.Job{Steps: []protocol.Step{{TaskCount: 4, CPUUnits: 50}}}
	return f.apply(&AcceptJob{Peer: "p", OfferID: offerID, ID: "j", Route: "a", Loan: loan, Job: job})
}

func TestCapacityIsLentOnce(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.lend("m", 25, 25); o.Code != CodeConflict {
		t.Fatalf("lent twice: %+v", o)
	}
	f.now += 2000
	if o := f.lend("n", 25, 25); o.Code != CodeOK {
		t.Fatalf("not lent again after the end: %+v", o)
	}
}

func TestOfferIsAcceptedAtMostOnce(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.acceptJob(7, "l"); o.Text != AnswerAccepted {
		t.Fatalf("%+v", o)
	}
	if o := f.acceptJob(7, "l"); o.Text != AnswerAccepted || len(f.store.Jobs) != 1 {
		t.Fatalf("repeated: %+v", o)
	}
	if o := f.apply(&WithdrawOffer{Peer: "p", OfferID: 7, ID: "j"}); o.Text != AnswerAccepted {
		t.Fatalf("what was accepted is voided: %+v", o)
	}
	f.apply(&ReleaseJob{Peer: "p", OfferID: 7, ID: "j"})
	delete(f.store.Jobs, "j")
	if o := f.acceptJob(7, "l"); o.Text != AnswerRefused {
		t.Fatalf("a late copy after its end was released: %+v", o)
	}
}

func TestVoidedOfferIsNeverAccepted(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.apply(&WithdrawOffer{Peer: "p", OfferID: 7, ID: "j"}); o.Text != AnswerWithdrawn {
		t.Fatalf("%+v", o)
	}
	if o := f.acceptJob(7, "l"); o.Text != AnswerRefused || f.store.Jobs["j"] != nil {
		t.Fatalf("%+v", o)
	}
	if o := f.acceptJob(8, "l"); o.Text != AnswerAccepted {
		t.Fatalf("a newer offer: %+v", o)
	}
}

func TestRefusedOfferIsNeverAccepted(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.acceptJob(7, "none"); o.Text != AnswerRefused {
		t.Fatalf("%+v", o)
	}
	if o := f.acceptJob(7, "l"); o.Text != AnswerRefused {
		t.Fatalf("a refused offer was accepted later: %+v", o)
	}
}

func TestIncomingJobsStayWithinTheLoan(t *testing.T) {
	f := newLoanFixture(t)
	f.acceptJob(7, "l")
	a := f.store.Workers["a"]
	var items []Placement
	for i := range 4 {
		items = append(items, placementOn(a, i))
	}
	f.applyPlan("j", 0, false, items...)
	if a.UsedMilliCPU != 100 {
		t.Fatalf("incoming jobs hold %d of a loan of 100", a.UsedMilliCPU)
	}
}

func TestOfferedJobDoesNotStartAtTheSource(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	f.submit("j", protocol.Step{TaskCount: 1})
	offerID := f.apply(&OfferJob{Job: "j", Peer: "p"}).Value
	f.applyPlan("j", 0, false, placementOn(a, 0))
	if len(f.store.Allocations) != 0 {
		t.Fatal("it runs here while the peer may have it")
	}
	settle := func(answer string, index uint64) Outcome {
		return f.apply(&ResolveTransfer{Job: "j", OfferID: offerID, Peer: "p", Epoch: "e", Index: index, Answer: answer})
	}
	if o := f.apply(&CancelJob{ID: "j"}); o.Code != CodeAccepted {
		t.Fatalf("canceled while the peer may run it: %+v", o)
	}
	settle(AnswerAccepted, 9)
	if o := settle(AnswerWithdrawn, 10); o.Code != CodeConflict {
		t.Fatalf("a peer that denies what it accepted is believed: %+v", o)
	}
	if o := settle(StatusDone, 5); o.Code != CodeConflict || f.store.Jobs["j"].Done {
		t.Fatalf("a peer with an older state is believed: %+v", o)
	}
	ofOtherEpoch := &ResolveTransfer{Job: "j", OfferID: offerID, Peer: "p", Epoch: "other", Index: 50, Answer: StatusDone}
	if o := f.apply(ofOtherEpoch); o.Code != CodeConflict {
		t.Fatalf("another history is believed: %+v", o)
	}
	if settle(StatusDone, 11); !f.store.Jobs["j"].Done {
		t.Fatal("its end isn't kept")
	}
	if settle(AnswerReleased, 12); f.store.Jobs["j"].keptForPeer() {
		t.Fatal("kept after it was released")
	}
}

func TestVoidedJobStartsAtTheSource(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	f.submit("j", protocol.Step{TaskCount: 1})
	offerID := f.apply(&OfferJob{Job: "j", Peer: "p"}).Value
	f.apply(&ResolveTransfer{Job: "j", OfferID: offerID, Peer: "p", Epoch: "e", Index: 1, Answer: AnswerWithdrawn})
	f.applyPlan("j", 0, false, placementOn(a, 0))
	if len(f.store.Allocations) != 1 {
		t.Fatal("it does not start at the source")
	}
}
