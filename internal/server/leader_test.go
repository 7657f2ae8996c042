package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// TestLeaderOfLaterTermDiscardsEarlierTermsState: a leader that finds itself leading a later
// term than the one it began with trusts nothing that it kept.
func TestLeaderOfLaterTermDiscardsEarlierTermsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		at, unknown := h.replica.leadingSince, 0
		h.replica.leadingTerm--
		h.replica.leases["w"] = &workerLease{grantedAt: time.Now()}
		h.replica.pending[999] = pendingEntry{replies: []commandReply{func(_ state.Outcome, known bool) {
			if !known {
				unknown++
			}
		}}}
		time.Sleep(time.Millisecond)
		h.endTurn()
		if !h.replica.leading || h.replica.leadingTerm != h.replica.node.Term() || !h.replica.leadingSince.After(at) || h.replica.leases["w"] != nil || unknown != 1 {
			t.Errorf("it goes on as in the term before: %d replies, leases %v", unknown, h.replica.leases)
		}
	})
}

// TestClockContinuesFromTheLog: a new leader's stamps are never below those that
// the log holds, whatever its own clock says.
func TestClockContinuesFromTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 1, Commit: 2, Entries: []raft.Entry{{Index: 2, Term: 3,
			Data: transport.Encode(state.Batch{Clock: 1_000_000, Commands: []state.EncodedCommand{state.EncodeCommand(state.CommandCollectGarbage, &state.CollectGarbage{})}})}}})
		h.endTurn()
		time.Sleep(time.Second)
		h.becomeLeader()
		if clock := h.replica.clock(time.Now()); clock < 1_000_000 || h.replica.state.Clock < 1_000_000 {
			t.Errorf("its clock is at %d, the state's at %d", clock, h.replica.state.Clock)
		}
	})
}
