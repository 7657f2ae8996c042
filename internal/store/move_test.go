package store

import (
	"testing"

	"tealpond/internal/protocol"
)

func guestWorld(t *testing.T) *world {
	w := newWorld(t)
	w.worker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	if o := w.run("lend", &Lend{ID: "l", Peer: "p", Service: "s", CPU: 100, Least: 50, For: 1000, Slices: 4, Slice: 25}); o.Code != 200 || o.N != 100 {
		t.Fatalf("loan: %+v", o)
	}
	return w
}

func (w *world) accept(no int64, loan string) Outcome {
	return w.run("accept", &Accept{Peer: "p", No: no, ID: "j", Lane: "a", Loan: loan, Job: protocol.Job{Steps: []protocol.Step{{TaskCount: 4, CPUUnits: 50}}}})
}

func TestRoomIsLentOnce(t *testing.T) {
	w := guestWorld(t)
	if o := w.run("lend", &Lend{ID: "m", Peer: "p", Service: "s", CPU: 25, Least: 25, For: 1000, Slices: 4, Slice: 25}); o.Code != 409 {
		t.Fatalf("lent twice: %+v", o)
	}
	w.now += 2000
	if o := w.run("lend", &Lend{ID: "n", Peer: "p", Service: "s", CPU: 25, Least: 25, For: 1000, Slices: 4, Slice: 25}); o.Code != 200 {
		t.Fatalf("not lent again after the end: %+v", o)
	}
}

func TestOfferIsTakenAtMostOnce(t *testing.T) {
	w := guestWorld(t)
	if o := w.accept(7, "l"); o.Text != "taken" {
		t.Fatalf("%+v", o)
	}
	if o := w.accept(7, "l"); o.Text != "taken" || len(w.s.Jobs) != 1 {
		t.Fatalf("repeated: %+v", o)
	}
	if o := w.run("void", &Void{Peer: "p", No: 7, ID: "j"}); o.Text != "taken" {
		t.Fatalf("a void of what was taken: %+v", o)
	}
	w.run("release", &Release{Peer: "p", No: 7, ID: "j"})
	delete(w.s.Jobs, "j")
	if o := w.accept(7, "l"); o.Text != "refused" {
		t.Fatalf("a late copy after its end was released: %+v", o)
	}
}

func TestVoidedOfferIsNeverTaken(t *testing.T) {
	w := guestWorld(t)
	if o := w.run("void", &Void{Peer: "p", No: 7, ID: "j"}); o.Text != "voided" {
		t.Fatalf("%+v", o)
	}
	if o := w.accept(7, "l"); o.Text != "refused" || w.s.Jobs["j"] != nil {
		t.Fatalf("%+v", o)
	}
	if o := w.accept(8, "l"); o.Text != "taken" {
		t.Fatalf("a newer offer: %+v", o)
	}
}

func TestRefusalHolds(t *testing.T) {
	w := guestWorld(t)
	if o := w.accept(7, "none"); o.Text != "refused" {
		t.Fatalf("%+v", o)
	}
	if o := w.accept(7, "l"); o.Text != "refused" {
		t.Fatalf("a refused offer was taken later: %+v", o)
	}
}

func TestGuestsStayWithinTheLoan(t *testing.T) {
	w := guestWorld(t)
	w.accept(7, "l")
	a := w.s.Workers["a"]
	var items []Item
	for i := range 4 {
		items = append(items, Item{Index: i, Worker: "a", Ver: a.Ver})
	}
	w.book("j", 0, false, items...)
	if a.UsedCPU != 100 {
		t.Fatalf("guests hold %d of a loan of 100", a.UsedCPU)
	}
}

func TestOfferedJobStartsNowhereHere(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	w.job("j", protocol.Step{TaskCount: 1})
	no := w.run("offer", &Offer{Job: "j", Peer: "p"}).N
	w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver})
	if len(w.s.Allocs) != 0 {
		t.Fatal("it runs here while the peer may have it")
	}
	say := func(what string, index uint64) Outcome {
		return w.run("settle", &SettleMove{Job: "j", No: no, Peer: "p", Epoch: "e", Index: index, What: what})
	}
	if o := w.run("cancel", &Cancel{ID: "j"}); o.Code != 202 {
		t.Fatalf("called off while the peer may run it: %+v", o)
	}
	say("taken", 9)
	if o := say("voided", 10); o.Code != 409 {
		t.Fatalf("a peer that denies what it took is believed: %+v", o)
	}
	if o := say("done", 5); o.Code != 409 || w.s.Jobs["j"].Done {
		t.Fatalf("a peer with an older state is believed: %+v", o)
	}
	if o := w.run("settle", &SettleMove{Job: "j", No: no, Peer: "p", Epoch: "other", Index: 50, What: "done"}); o.Code != 409 {
		t.Fatalf("another history is believed: %+v", o)
	}
	if say("done", 11); !w.s.Jobs["j"].Done {
		t.Fatal("its end isn't kept")
	}
	if say("released", 12); w.s.Jobs["j"].held() {
		t.Fatal("kept after it was released")
	}
}

func TestVoidedJobIsHomeAgain(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	w.job("j", protocol.Step{TaskCount: 1})
	no := w.run("offer", &Offer{Job: "j", Peer: "p"}).N
	w.run("settle", &SettleMove{Job: "j", No: no, Peer: "p", Epoch: "e", Index: 1, What: "voided"})
	w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver})
	if len(w.s.Allocs) != 1 {
		t.Fatal("it does not start at home")
	}
}
