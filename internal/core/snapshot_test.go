package core

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/store"
)

// snapshotOf is a snapshot at an entry, of a state that has a zone's duty.
func snapshotOf(t *testing.T, index uint64, zone string) *raft.Snapshot {
	t.Helper()
	s := store.New(store.Limits{})
	if err := s.StartAt(index - 1); err != nil {
		t.Fatal(err)
	}
	s.Run(index, appoint(zone))
	return &raft.Snapshot{Index: index, Term: 3, Voters: testVoters, Data: s.Save()}
}

// TestSnapshotAndAppendInOneTurn: the loop drains a snapshot and entries above
// it before it rests. Applied to the state before the snapshot, the entries
// would be lost with that state.
func TestSnapshotAndAppendInOneTurn(t *testing.T) {
	for name, more := range map[string]bool{"snapshot first": false, "entries, snapshot, entries": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				if more {
					b.step(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 1, Commit: 2,
						Entries: []raft.Entry{{Index: 2, Term: 3, Data: appoint("old")}}})
				}
				b.step(raft.Message{Kind: raft.MsgSnapshot, From: "b", Term: 3, Snapshot: snapshotOf(t, 10, "snapshot")})
				b.step(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 10, LogTerm: 3, Commit: 12, Entries: []raft.Entry{
					{Index: 11, Term: 3, Data: appoint("eleven")}, {Index: 12, Term: 3, Kind: raft.EntryNoop}}})
				b.step(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 12, LogTerm: 3, Commit: 13, Entries: []raft.Entry{
					{Index: 13, Term: 3, Data: appoint("thirteen")}}})
				b.rest()
				b.rest()
				for _, zone := range []string{"snapshot", "eleven", "thirteen"} {
					if _, ok := b.c.state.Duties[zone]; !ok {
						t.Errorf("the state lacks %q: it has %v", zone, b.c.state.Duties)
					}
				}
				if _, ok := b.c.state.Duties["old"]; ok || b.c.state.Applied != 13 || b.c.node.AppliedIndex() != 13 {
					t.Errorf("state at %d, node at %d: %v", b.c.state.Applied, b.c.node.AppliedIndex(), b.c.state.Duties)
				}
				if point, _ := b.c.freeze(); point.Index != 13 {
					t.Errorf("a snapshot taken now is at %d", point.Index)
				}
				if point := b.c.snapshotForMember(); point.Index != 10 {
					t.Errorf("a member that lags is sent a snapshot at %d, not the one received", point.Index)
				}
			})
		})
	}
}

// TestSnapshotEndsWaits: who waits for an entry that a snapshot covers is told
// that its outcome isn't known, and orders of the old state are not sent.
func TestSnapshotEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		said := ""
		b.c.waiters[5] = waiter{term: 2, replies: []func(store.Outcome, bool){nil, func(_ store.Outcome, ok bool) {
			said = map[bool]string{true: "clear", false: "unclear"}[ok]
		}}}
		b.c.orders[nil] = nil
		b.c.sessions["w"] = &sideSession{synced: true}
		b.c.install(snapshotOf(t, 10, "z"))
		if said != "unclear" || len(b.c.waiters) != 0 {
			t.Errorf("the caller heard %q, %d wait", said, len(b.c.waiters))
		}
		if len(b.c.orders) != 0 || b.c.sessions["w"].synced || !b.c.sessionsUnsynced {
			t.Error("side daemons go on with what the old state told")
		}
	})
}

// TestProposalReplacedByAShorterEntry: a deposed leader's entry is replaced by
// one with fewer commands, settled before this core has resigned.
func TestProposalReplacedByAShorterEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.lead()
		var said []bool
		for range 3 {
			b.c.add("sweep", &store.Sweep{}, func(_ store.Outcome, ok bool) { said = append(said, ok) })
		}
		time.Sleep(time.Second / 10)
		last := b.c.node.LastIndex()
		b.rest()
		i := b.c.node.LastIndex()
		if i != last+1 || len(b.c.waiters) != 1 {
			t.Fatalf("one entry was to be proposed: %d after %d, %d wait", i, last, len(b.c.waiters))
		}
		lt, _ := b.c.node.TermAt(last)
		b.step(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 9, Index: last, LogTerm: lt, Commit: i,
			Entries: []raft.Entry{{Index: i, Term: 9, Data: appoint("z")}}})
		b.rest()
		if len(said) != 3 || said[0] || said[1] || said[2] {
			t.Errorf("the callers heard %v", said)
		}
	})
}

// TestOverwrittenWaitIsAnswered: a proposal at an index for which an earlier one
// still waits must not take its answer away.
func TestOverwrittenWaitIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.lead()
		heard := 0
		b.c.waiters[b.c.node.LastIndex()+1] = waiter{term: 1, replies: []func(store.Outcome, bool){func(_ store.Outcome, ok bool) {
			if !ok {
				heard++
			}
		}}}
		time.Sleep(time.Second / 10)
		b.c.add("sweep", &store.Sweep{}, nil)
		b.rest()
		if heard != 1 {
			t.Errorf("the earlier caller heard %d answers", heard)
		}
	})
}

// TestLimitsComeThroughTheLog: the settings of this machine reach the state by
// a command of the leader's only, so that those of others may differ.
func TestLimitsComeThroughTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.c.settings.Bounds.SpreadFactor = 2.5
		b.c.install(snapshotOf(t, 10, "z"))
		if b.c.state.Limits != (store.Limits{}) {
			t.Errorf("a follower's state took its own settings: %+v", b.c.state.Limits)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.c.settings.Bounds.SpreadFactor = 2.5
		b.lead()
		if b.c.state.Limits != limits(b.c.settings) || b.c.state.Far() != 2.5 {
			t.Errorf("the leader's limits are not in force: %+v", b.c.state.Limits)
		}
	})
}
