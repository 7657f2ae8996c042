package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
)

// snapshotOf is a snapshot at an entry, of a state that has an aggregator for a zone.
func snapshotOf(t *testing.T, index uint64, zone string) *raft.Snapshot {
	t.Helper()
	store := state.New(state.Limits{})
	if err := store.BindSnapshotIndex(index - 1); err != nil {
		t.Fatal(err)
	}
	store.ApplyEntry(index, appointmentEntry(zone))
	return &raft.Snapshot{Index: index, Term: 3, Voters: testVoters, Data: store.EncodeSnapshot()}
}

// TestSnapshotAndAppendInOneTurnBothApply: the loop takes a snapshot and entries above
// it in one turn. Applied to the state before the snapshot, the entries would be lost
// with that state.
func TestSnapshotAndAppendInOneTurnBothApply(t *testing.T) {
	for name, more := range map[string]bool{"snapshot first": false, "entries, snapshot, entries": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				if more {
					h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 1, Commit: 2,
						Entries: []raft.Entry{{Index: 2, Term: 3, Data: appointmentEntry("old")}}})
				}
				h.receive(raft.Message{Kind: raft.MsgSnapshot, From: "b", Term: 3, Snapshot: snapshotOf(t, 10, "snapshot")})
				h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 10, LogTerm: 3, Commit: 12, Entries: []raft.Entry{
					{Index: 11, Term: 3, Data: appointmentEntry("eleven")}, {Index: 12, Term: 3, Kind: raft.EntryNoop}}})
				h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 12, LogTerm: 3, Commit: 13, Entries: []raft.Entry{
					{Index: 13, Term: 3, Data: appointmentEntry("thirteen")}}})
				h.endTurn()
				h.endTurn()
				for _, zone := range []string{"snapshot", "eleven", "thirteen"} {
					if _, ok := h.replica.state.Aggregators[zone]; !ok {
						t.Errorf("the state lacks %q: it has %v", zone, h.replica.state.Aggregators)
					}
				}
				if _, ok := h.replica.state.Aggregators["old"]; ok || h.replica.state.AppliedIndex != 13 || h.replica.node.AppliedIndex() != 13 {
					t.Errorf("state at %d, node at %d: %v", h.replica.state.AppliedIndex, h.replica.node.AppliedIndex(), h.replica.state.Aggregators)
				}
				if snapshot, _ := h.replica.beginSnapshot(); snapshot.Index != 13 {
					t.Errorf("a snapshot taken now is at %d", snapshot.Index)
				}
				if snapshot := h.replica.snapshotForFollower(); snapshot.Index != 10 {
					t.Errorf("a member that lags is sent a snapshot at %d, not the one received", snapshot.Index)
				}
			})
		})
	}
}

// TestInstalledSnapshotAbandonsPendingEntries: who waits for an entry that a snapshot
// covers is told that its outcome isn't known, and assignments of the old state are
// not sent.
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
			t.Errorf("the caller heard %q, %d wait", reply, len(h.replica.pending))
		}
		if len(h.replica.pendingAssignments) != 0 || h.replica.sessions["w"].synced || !h.replica.sessionsUnsynced {
			t.Error("agents go on with what the old state told")
		}
	})
}

// TestReplacedProposalIsAnsweredAsUnknown: a deposed leader's entry is replaced by
// one with fewer commands, committed before this replica has stepped down.
func TestReplacedProposalIsAnsweredAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		var replies []bool
		for range 3 {
			h.replica.enqueueCommand(state.CommandCollectGarbage, &state.CollectGarbage{}, func(_ state.Outcome, ok bool) { replies = append(replies, ok) })
		}
		time.Sleep(time.Second / 10)
		last := h.replica.node.LastIndex()
		h.endTurn()
		i := h.replica.node.LastIndex()
		if i != last+1 || len(h.replica.pending) != 1 {
			t.Fatalf("one entry was to be proposed: %d after %d, %d wait", i, last, len(h.replica.pending))
		}
		logTerm, _ := h.replica.node.TermAt(last)
		h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 9, Index: last, LogTerm: logTerm, Commit: i,
			Entries: []raft.Entry{{Index: i, Term: 9, Data: appointmentEntry("z")}}})
		h.endTurn()
		if len(replies) != 3 || replies[0] || replies[1] || replies[2] {
			t.Errorf("the callers heard %v", replies)
		}
	})
}

// TestOverwrittenPendingEntryIsAnswered: a proposal at an index for which an earlier
// one still waits must not take its reply away.
func TestOverwrittenPendingEntryIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		heard := 0
		h.replica.pending[h.replica.node.LastIndex()+1] = pendingEntry{term: 1, replies: []commandReply{func(_ state.Outcome, ok bool) {
			if !ok {
				heard++
			}
		}}}
		time.Sleep(time.Second / 10)
		h.replica.enqueueCommand(state.CommandCollectGarbage, &state.CollectGarbage{}, nil)
		h.endTurn()
		if heard != 1 {
			t.Errorf("the earlier caller heard %d answers", heard)
		}
	})
}

// TestLimitsAreSetThroughTheLog: the settings of this machine reach the state by
// a command of the leader's only, so that those of others may differ.
func TestLimitsAreSetThroughTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.replica.settings.Bounds.SpreadFactor = 2.5
		h.replica.installSnapshot(snapshotOf(t, 10, "z"))
		if h.replica.state.Limits != (state.Limits{}) {
			t.Errorf("a follower's state took its own settings: %+v", h.replica.state.Limits)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.replica.settings.Bounds.SpreadFactor = 2.5
		h.becomeLeader()
		if h.replica.state.Limits != stateLimits(h.replica.settings) || h.replica.state.RemoteFactor() != 2.5 {
			t.Errorf("the leader's limits are not in force: %+v", h.replica.state.Limits)
		}
	})
}
