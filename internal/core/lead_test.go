package core

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/store"
	"tealpond/internal/transport"
)

// TestLeadInAnotherTermBeginsAnew: a leader that finds itself leading a later
// term than the one it began with trusts nothing that it kept.
func TestLeadInAnotherTermBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.lead()
		at, unclear := b.c.leadingSince, 0
		b.c.leadingTerm--
		b.c.leases["w"] = &workerLease{grantedAt: time.Now()}
		b.c.waiters[999] = waiter{replies: []func(store.Outcome, bool){func(_ store.Outcome, ok bool) {
			if !ok {
				unclear++
			}
		}}}
		time.Sleep(time.Millisecond)
		b.rest()
		if !b.c.leading || b.c.leadingTerm != b.c.node.Term() || !b.c.leadingSince.After(at) || b.c.leases["w"] != nil || unclear != 1 {
			t.Errorf("it goes on as in the term before: %d answers, grants %v", unclear, b.c.leases)
		}
	})
}

// TestClockGoesOnFromTheLog: a new leader's stamps are never below those that
// the log holds, whatever its own clock says.
func TestClockGoesOnFromTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.step(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 1, Commit: 2, Entries: []raft.Entry{{Index: 2, Term: 3,
			Data: transport.Encode(store.Batch{Clock: 1_000_000, Cmds: []store.Raw{store.Encode("sweep", &store.Sweep{})}})}}})
		b.rest()
		time.Sleep(time.Second)
		b.lead()
		if c := b.c.clock(time.Now()); c < 1_000_000 || b.c.state.Clock < 1_000_000 {
			t.Errorf("its clock is at %d, the state's at %d", c, b.c.state.Clock)
		}
	})
}
