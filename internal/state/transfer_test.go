package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// lend lends CPU of service s to peer p for one second. The service has four slices of 25
// millicores.
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

// newLoanFixture returns a state that lends 100 millicores to a peer.
func newLoanFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	if o := f.lend("l", 100, 50); o.Code != CodeOK || o.Value != 100 {
		t.Fatalf("loan: outcome %+v, want 100 lent", o)
	}
	return f
}

// acceptJob applies AcceptJob for an offer of job j by peer p under a loan.
func (f *fixture) acceptJob(offerID int64, loan string) Outcome {
	f.t.Helper()
	job := protocol.Job{Steps: []protocol.Step{{TaskCount: 4, CPUUnits: 50}}}
	return f.apply(&AcceptJob{Peer: "p", OfferID: offerID, ID: "j", Route: "a", Loan: loan, Job: job})
}

func TestCapacityIsLentOnce(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.lend("m", 25, 25); o.Code != CodeConflict {
		t.Fatalf("second loan of the same capacity: outcome %+v, want CodeConflict", o)
	}
	f.now += 2000
	if o := f.lend("n", 25, 25); o.Code != CodeOK {
		t.Fatalf("loan after the first one ended: outcome %+v, want CodeOK", o)
	}
}

func TestOfferIsAcceptedAtMostOnce(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.acceptJob(7, "l"); o.Text != AnswerAccepted {
		t.Fatalf("first offer: %+v", o)
	}
	if o := f.acceptJob(7, "l"); o.Text != AnswerAccepted || len(f.store.Jobs) != 1 {
		t.Fatalf("repeated offer: %+v; want it accepted and one job", o)
	}
	if o := f.apply(&WithdrawOffer{Peer: "p", OfferID: 7, ID: "j"}); o.Text != AnswerAccepted {
		t.Fatalf("accepted offer was withdrawn: %+v", o)
	}
	f.apply(&ReleaseJob{Peer: "p", OfferID: 7, ID: "j"})
	delete(f.store.Jobs, "j")
	if o := f.acceptJob(7, "l"); o.Text != AnswerRefused {
		t.Fatalf("late duplicate of a released job's offer: %+v", o)
	}
}

func TestWithdrawnOfferIsNeverAccepted(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.apply(&WithdrawOffer{Peer: "p", OfferID: 7, ID: "j"}); o.Text != AnswerWithdrawn {
		t.Fatalf("withdrawal: %+v", o)
	}
	if o := f.acceptJob(7, "l"); o.Text != AnswerRefused || f.store.Jobs["j"] != nil {
		t.Fatalf("withdrawn offer: %+v", o)
	}
	if o := f.acceptJob(8, "l"); o.Text != AnswerAccepted {
		t.Fatalf("newer offer: %+v", o)
	}
}

func TestRefusedOfferIsNeverAccepted(t *testing.T) {
	f := newLoanFixture(t)
	if o := f.acceptJob(7, "none"); o.Text != AnswerRefused {
		t.Fatalf("offer under an unknown loan: %+v", o)
	}
	if o := f.acceptJob(7, "l"); o.Text != AnswerRefused {
		t.Fatalf("refused offer was accepted later: %+v", o)
	}
}

func TestIncomingJobsStayWithinTheLoan(t *testing.T) {
	f := newLoanFixture(t)
	f.acceptJob(7, "l")
	a := f.store.Workers["a"]
	var placements []Placement
	for i := range 4 {
		placements = append(placements, placementOn(a, i))
	}
	f.applyPlan("j", 0, false, placements...)
	if a.UsedMilliCPU != 100 {
		t.Fatalf("incoming jobs use %d of a loan of 100, want 100", a.UsedMilliCPU)
	}
}

func TestOfferedJobDoesNotStartAtTheSource(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	f.submit("j", protocol.Step{TaskCount: 1})
	offerID := f.apply(&OfferJob{Job: "j", Peer: "p"}).Value
	f.applyPlan("j", 0, false, placementOn(a, 0))
	if len(f.store.Allocations) != 0 {
		t.Fatal("offered job was started at the source")
	}
	resolve := func(answer string, index uint64) Outcome {
		return f.apply(&ResolveTransfer{Job: "j", OfferID: offerID, Peer: "p", Epoch: "e", Index: index, Answer: answer})
	}
	if o := f.apply(&CancelJob{ID: "j"}); o.Code != CodeAccepted {
		t.Fatalf("cancellation while the peer may run the job: outcome %+v, want CodeAccepted", o)
	}
	resolve(AnswerAccepted, 9)
	if o := resolve(AnswerWithdrawn, 10); o.Code != CodeConflict {
		t.Fatalf("withdrawal by a peer that accepted the job: outcome %+v, want CodeConflict", o)
	}
	if o := resolve(StatusDone, 5); o.Code != CodeConflict || f.store.Jobs["j"].Done {
		t.Fatalf("answer from an older state of the peer: outcome %+v, want CodeConflict", o)
	}
	ofOtherEpoch := &ResolveTransfer{Job: "j", OfferID: offerID, Peer: "p", Epoch: "other", Index: 50, Answer: StatusDone}
	if o := f.apply(ofOtherEpoch); o.Code != CodeConflict {
		t.Fatalf("answer from another epoch of the peer: outcome %+v, want CodeConflict", o)
	}
	if resolve(StatusDone, 11); !f.store.Jobs["j"].Done {
		t.Fatal("end of the transferred job was not recorded")
	}
	if resolve(AnswerReleased, 12); f.store.Jobs["j"].keptForPeer() {
		t.Fatal("job is still kept for the peer after its release")
	}
}

func TestWithdrawnJobStartsAtTheSource(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	f.submit("j", protocol.Step{TaskCount: 1})
	offerID := f.apply(&OfferJob{Job: "j", Peer: "p"}).Value
	f.apply(&ResolveTransfer{Job: "j", OfferID: offerID, Peer: "p", Epoch: "e", Index: 1, Answer: AnswerWithdrawn})
	f.applyPlan("j", 0, false, placementOn(a, 0))
	if len(f.store.Allocations) != 1 {
		t.Fatal("job does not start at the source after its offer was withdrawn")
	}
}
