package server

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
)

// snapshotOf returns a snapshot at the given index, of a state that has an aggregator for the given
// zone.
func snapshotOf(t *testing.T, index uint64, zone string) *raft.Snapshot {
	t.Helper()
	store := state.New(state.Limits{})
	if err := store.BindSnapshotIndex(index - 1); err != nil {
		t.Fatal(err)
	}
	store.ApplyEntry(index, appointmentEntry(zone))
	return &raft.Snapshot{Index: index, Term: 3, Voters: testVoters, Data: store.EncodeSnapshot()}
}

// TestSnapshotAndAppendInOneIterationBothApply guards against lost entries when a snapshot and
// entries after it arrive in one loop iteration. Entries applied to the state before the snapshot
// would be lost with that state.
func TestSnapshotAndAppendInOneIterationBothApply(t *testing.T) {
	for name, entriesFirst := range map[string]bool{"snapshot first": false, "entries, snapshot, entries": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				if entriesFirst {
					h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 1, Commit: 2,
						Entries: []raft.Entry{{Index: 2, Term: 3, Data: appointmentEntry("old")}}})
				}
				h.receive(raft.Message{Kind: raft.MsgSnapshot, From: "b", Term: 3, Snapshot: snapshotOf(t, 10, "snapshot")})
				h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 10, LogTerm: 3, Commit: 12, Entries: []raft.Entry{
					{Index: 11, Term: 3, Data: appointmentEntry("eleven")}, {Index: 12, Term: 3, Kind: raft.EntryNoop}}})
				h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 12, LogTerm: 3, Commit: 13, Entries: []raft.Entry{
					{Index: 13, Term: 3, Data: appointmentEntry("thirteen")}}})
				h.finishIteration()
				h.finishIteration()
				for _, zone := range []string{"snapshot", "eleven", "thirteen"} {
					if _, ok := h.replica.state.Aggregators[zone]; !ok {
						t.Errorf("zone %q is missing in the state: %v", zone, h.replica.state.Aggregators)
					}
				}
				if _, ok := h.replica.state.Aggregators["old"]; ok || h.replica.state.AppliedIndex != 13 || h.replica.node.AppliedIndex() != 13 {
					t.Errorf("applied index of the state %d, of the node %d, aggregators %v", h.replica.state.AppliedIndex, h.replica.node.AppliedIndex(), h.replica.state.Aggregators)
				}
				if snapshot, _ := h.replica.beginSnapshot(); snapshot.Index != 13 {
					t.Errorf("a snapshot taken now is at index %d, want 13", snapshot.Index)
				}
				if snapshot := h.replica.snapshotForFollower(); snapshot.Index != 10 {
					t.Errorf("snapshot for a lagging member is at index %d, want the received one at 10", snapshot.Index)
				}
			})
		})
	}
}

// TestInstalledSnapshotAbandonsPendingEntries checks that callers waiting for an entry covered by
// an installed snapshot get an unknown outcome, and that assignments derived from the replaced
// state are not sent.
func TestInstalledSnapshotAbandonsPendingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		reply := ""
		h.replica.pending[5] = pendingEntry{term: 2, replies: []commandReply{nil, func(_ state.Outcome, known bool) {
			reply = map[bool]string{true: "known", false: "unknown"}[known]
		}}}
		h.replica.pendingAssignments[nil] = nil
		h.replica.sessions["w"] = &agentSession{synced: true}
		h.replica.installSnapshot(snapshotOf(t, 10, "z"))
		if reply != "unknown" || len(h.replica.pending) != 0 {
			t.Errorf("reply is %q, %d entries pending", reply, len(h.replica.pending))
		}
		if len(h.replica.pendingAssignments) != 0 || h.replica.sessions["w"].synced || !h.replica.sessionsUnsynced {
			t.Error("assignments or sessions of the replaced state were kept")
		}
	})
}

// TestReplacedProposalHasUnknownOutcome checks a deposed leader's entry that is replaced by an
// entry with fewer commands, committed before this replica has stepped down: its callers get an
// unknown outcome.
func TestReplacedProposalHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.electLeader()
		var replies []bool
		for range 3 {
			h.replica.enqueueCommand(state.CommandCollectGarbage, &state.CollectGarbage{}, func(_ state.Outcome, ok bool) { replies = append(replies, ok) })
		}
		time.Sleep(time.Second / 10)
		last := h.replica.node.LastIndex()
		h.finishIteration()
		i := h.replica.node.LastIndex()
		if i != last+1 || len(h.replica.pending) != 1 {
			t.Fatalf("want one proposed entry: last index %d after %d, %d entries pending", i, last, len(h.replica.pending))
		}
		logTerm, _ := h.replica.node.TermAt(last)
		h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 9, Index: last, LogTerm: logTerm, Commit: i,
			Entries: []raft.Entry{{Index: i, Term: 9, Data: appointmentEntry("z")}}})
		h.finishIteration()
		if len(replies) != 3 || replies[0] || replies[1] || replies[2] {
			t.Errorf("known outcomes replied: %v, want three unknown ones", replies)
		}
	})
}

// TestOverwrittenPendingEntryGetsReply checks that a proposal at an index where an earlier proposal
// is still pending does not lose the reply to the earlier one.
func TestOverwrittenPendingEntryGetsReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.electLeader()
		unknownReplies := 0
		h.replica.pending[h.replica.node.LastIndex()+1] = pendingEntry{term: 1, replies: []commandReply{func(_ state.Outcome, ok bool) {
			if !ok {
				unknownReplies++
			}
		}}}
		time.Sleep(time.Second / 10)
		h.replica.enqueueCommand(state.CommandCollectGarbage, &state.CollectGarbage{}, nil)
		h.finishIteration()
		if unknownReplies != 1 {
			t.Errorf("earlier caller got %d unknown replies, want 1", unknownReplies)
		}
	})
}

// TestLimitsAreSetThroughLog checks that settings of a machine reach the state only by a command of
// the leader, so that they may differ between machines.
func TestLimitsAreSetThroughLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.replica.settings.Bounds.SpreadFactor = 2.5
		h.replica.installSnapshot(snapshotOf(t, 10, "z"))
		if h.replica.state.Limits != (state.Limits{}) {
			t.Errorf("follower applied its own settings to the state: %+v", h.replica.state.Limits)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.replica.settings.Bounds.SpreadFactor = 2.5
		h.electLeader()
		if h.replica.state.Limits != stateLimits(h.replica.settings) || h.replica.state.RemoteFactor() != 2.5 {
			t.Errorf("limits of the leader are not set in the state: %+v", h.replica.state.Limits)
		}
	})
}

// TestLargeLogIsCompacted checks that a snapshot is due as soon as the entries of the log take more than
// their part of the memory, and that little of the log is kept behind it. It guards against a log that
// holds thousands of entries of any size.
func TestLargeLogIsCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.replica.settings.Limits.MemoryMB = 1
		const valueBytes = 4000
		limit := h.replica.maxLogBytes()
		for i := range 4 * minSnapshotDistance {
			put := &state.PutKey{Key: fmt.Sprint("k", i), Value: strings.Repeat("v", valueBytes), HistoryMs: 1}
			h.replica.enqueueCommand(state.CommandPutKey, put, nil)
			for range 20 {
				h.runIteration()
			}
			if index := h.replica.node.LastIndex(); h.replica.logTooLarge(index) {
				break
			}
		}
		index := h.replica.node.LastIndex()
		if !h.replica.logTooLarge(index) {
			t.Fatalf("no snapshot is due with a log of %d bytes, limit %d", h.replica.node.LogBytes(), limit)
		}
		h.replica.compactLog(index)
		if kept := h.replica.node.LogBytes(); kept > limit/2 {
			t.Errorf("%d bytes of the log are kept behind a snapshot, limit %d", kept, limit)
		}
	})
}
