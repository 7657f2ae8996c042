package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// TestLeaderOfLaterTermDiscardsEarlierTermsState checks that a leader that finds itself in a later
// term than the one it started with keeps none of its leader state.
func TestLeaderOfLaterTermDiscardsEarlierTermsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.electLeader()
		previousSince, unknown := h.replica.leadingSince, 0
		h.replica.leadingTerm--
		h.replica.leases["w"] = &workerLease{grantedAt: time.Now()}
		h.replica.pending[999] = pendingEntry{replies: []commandReply{func(_ state.Outcome, known bool) {
			if !known {
				unknown++
			}
		}}}
		time.Sleep(time.Millisecond)
		h.finishIteration()
		if !h.replica.leading || h.replica.leadingTerm != h.replica.node.Term() || !h.replica.leadingSince.After(previousSince) || h.replica.leases["w"] != nil || unknown != 1 {
			t.Errorf("leader state of the earlier term kept: %d replies, leases %v", unknown, h.replica.leases)
		}
	})
}

// TestClockContinuesFromLog checks that the timestamps of a new leader are never below those in the
// log, whatever its own clock reads.
func TestClockContinuesFromLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 1, Commit: 2, Entries: []raft.Entry{{Index: 2, Term: 3,
			Data: transport.Encode(state.Batch{Clock: 1_000_000, Commands: []state.EncodedCommand{state.EncodeCommand(state.CommandCollectGarbage, &state.CollectGarbage{})}})}}})
		h.finishIteration()
		time.Sleep(time.Second)
		h.electLeader()
		if clock := h.replica.clock(time.Now()); clock < 1_000_000 || h.replica.state.Clock < 1_000_000 {
			t.Errorf("leader clock is %d, state clock is %d, want at least 1000000", clock, h.replica.state.Clock)
		}
	})
}
