package core

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/storage"
	"tealpond/internal/store"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// events takes what other tasks of the core have sent to its loop.
func (b *bench) events() {
	synctest.Wait()
	for len(b.c.events) > 0 {
		b.c.handle(b.t.Context(), <-b.c.events)
	}
}

// tell has another replica report its sum.
func (b *bench) tell(from string, index, sum uint64) {
	b.c.handle(b.t.Context(), Event{Link: &transport.Event{Frame: transport.Frame{Kind: frameDigest, Body: transport.Encode(digestReport{from, b.c.self.ID, index, sum, program})}}})
}

// upTo settles entries until the state has applied one.
func (b *bench) upTo(index uint64) {
	b.t.Helper()
	for i := 0; b.c.state.Applied < index && i < 20000; i++ {
		if b.c.node.LastIndex() < index {
			b.c.add("sweep", &store.Sweep{}, nil)
		}
		time.Sleep(3 * time.Millisecond)
		b.rest()
		b.ack("b")
		b.ack("c")
		b.rest()
	}
	if b.c.state.Applied < index {
		b.t.Fatalf("it stands at %d", b.c.state.Applied)
	}
}

// anew gives the core a real disk, which can be put aside.
func (b *bench) anew(dir string) {
	b.c.settings.DataDir = dir
	b.c.stopDisk = func() {}
}

// TestLeaderPutsTheMajoritysSumIntoTheLog, and takes its state anew if it is the
// one that differs.
func TestLeaderPutsTheMajoritysSumIntoTheLog(t *testing.T) {
	const at = tune.SumEvery
	for name, c := range map[string]struct {
		b, c      uint64 // what the others report, against this one's sum
		reports   int
		agreed    bool
		retires   bool
		disagrees bool
	}{
		"all equal":             {0, 0, 2, true, false, false},
		"one equal, one silent": {0, 0, 1, true, false, false},
		"one equal, one not":    {0, 5, 2, true, false, false},
		"the leader differs":    {5, 5, 2, false, true, false},
		"none equal":            {5, 6, 2, false, false, true},
		"one differs, one lags": {5, 0, 1, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				b.anew(t.TempDir())
				b.lead()
				b.upTo(at)
				own, ok := b.c.audit.own[at]
				if !ok || own == 0 {
					t.Fatalf("no sum at %d", at)
				}
				b.tell("b", at, own+c.b)
				if c.reports > 1 {
					b.tell("c", at, own+c.c)
				}
				agreed := false
				for _, r := range b.c.commands {
					agreed = agreed || r.Kind == "agree"
				}
				if agreed != c.agreed || (b.c.audit.divergedAt > 0) != c.retires || b.c.audit.settled[at] != (c.agreed || c.retires || c.disagrees) {
					t.Errorf("agreed %v, differs at %d, dealt with %v", agreed, b.c.audit.divergedAt, b.c.audit.settled[at])
				}
				b.rest()
				if (b.c.node == nil) != c.retires {
					t.Errorf("its node: %v", b.c.node)
				}
			})
		})
	}
}

// TestReplicaThatDiffersTakesTheStateAnew: it hears of the majority's sum by the
// log, votes and answers no more, puts its disk aside, and comes back under a
// new identity with an empty state.
func TestReplicaThatDiffersTakesTheStateAnew(t *testing.T) {
	dir := t.TempDir()
	opened, held, _, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	ended, end := context.WithCancel(t.Context())
	end()
	opened.Run(ended, make(chan storage.WriteRequest), nil) // closes it
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.anew(dir)
		follow := func(index uint64, data []byte) {
			last := index - 1
			lt, _ := b.c.node.TermAt(last)
			b.step(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: last, LogTerm: lt, Commit: index, Entries: []raft.Entry{{Index: index, Term: 3, Data: data}}})
			b.rest()
		}
		entry := func(kind string, c store.Cmd) []byte {
			return transport.Encode(store.Batch{Clock: 1, Cmds: []store.Raw{store.Encode(kind, c)}})
		}
		follow(2, entry("limits", &store.SetLimits{}))
		for i := uint64(3); i <= tune.SumEvery; i++ {
			follow(i, appoint("z"))
		}
		own, ok := b.c.audit.own[tune.SumEvery]
		if !ok {
			t.Fatal("it has no sum")
		}
		follow(tune.SumEvery+1, entry("agree", &store.Agree{Index: tune.SumEvery, Sum: own, Program: program}))
		follow(tune.SumEvery+2, entry("agree", &store.Agree{Index: tune.SumEvery, Sum: own + 1, Program: "another"}))
		follow(tune.SumEvery+3, entry("agree", &store.Agree{Index: 7, Sum: own + 1, Program: program}))
		if b.c.node == nil {
			t.Fatal("retired without a cause")
		}
		said := 0
		b.c.waiters[tune.SumEvery+9] = waiter{term: 3, replies: []func(store.Outcome, bool){func(store.Outcome, bool) { said++ }}}
		follow(tune.SumEvery+4, entry("agree", &store.Agree{Index: tune.SumEvery, Sum: own + 1, Program: program}))
		if b.c.node != nil || said != 1 || b.c.self.ID != "" {
			t.Fatalf("it goes on as %q, callers heard %d answers", b.c.self.ID, said)
		}
		b.step(raft.Message{Kind: raft.MsgVote, From: "b", Term: 9, Index: 999, LogTerm: 9, Force: true})
		b.c.handle(t.Context(), Event{Found: &rpc.BootstrapProposal{Voters: testVoters, Start: true}})
		if b.rest(); b.c.node != nil {
			t.Fatal("it takes part again with its old state")
		}
		code := 0
		b.c.onAsk(rpc.Request{Kind: rpc.KindGetConfig}, nil, func(a rpc.Response) { code = a.Code })
		if code != rpc.CodeNotLeader {
			t.Errorf("it answers %d", code)
		}
		for b.c.node == nil {
			b.events()
			time.Sleep(time.Millisecond)
		}
		if b.c.self.ID == "" || b.c.self.ID == held.ID || b.c.self.ID == "a" || b.c.state.Applied != 0 || b.c.node.IsVoter(b.c.self.ID) {
			t.Errorf("it came back as %q, state at %d", b.c.self.ID, b.c.state.Applied)
		}
		if _, err := os.Stat(filepath.Join(dir, "tealpond.db.differs")); err != nil {
			t.Error(err)
		}
		// The writes of the identity before count no more.
		b.c.handle(t.Context(), Event{Wrote: []storage.WriteRequest{{}}})
		if b.c.writesInFlight != 0 {
			t.Error("a write of the old disk was counted")
		}
		b.c.stopDisk()
	})
}

// TestSnapshotsAreCutAtSetIndexes: at the same ones on each replica, however
// many entries settle in one turn; and one that a received snapshot overtook is
// dropped.
func TestSnapshotsAreCutAtSetIndexes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		var entries []raft.Entry
		for i := uint64(2); i <= tune.PointEvery+200; i++ {
			zone := "z"
			if i > tune.PointEvery {
				zone = "late"
			}
			entries = append(entries, raft.Entry{Index: i, Term: 3, Data: appoint(zone)})
		}
		b.step(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 1, Commit: tune.PointEvery + 200, Entries: entries})
		b.rest()
		b.rest()
		if b.c.state.Applied != tune.PointEvery+200 || !b.c.encodingSnapshot {
			t.Fatalf("at %d, cutting: %v", b.c.state.Applied, b.c.encodingSnapshot)
		}
		b.events()
		jobs := b.rest()
		if b.c.newestSnapshot == nil || b.c.newestSnapshot.Index != tune.PointEvery || b.c.audit.own[tune.PointEvery] != store.SumOf(b.c.newestSnapshot.Data) {
			t.Fatalf("the snapshot: %v", b.c.newestSnapshot)
		}
		s, err := store.Load(b.c.newestSnapshot.Data, store.Limits{})
		if err != nil || s.StartAt(tune.PointEvery) != nil || s.Duties["z"].No != 1 || s.Duties["late"].No != 0 || b.c.state.Duties["late"].No != 1 {
			t.Errorf("it holds what came after it: %v", err)
		}
		if len(jobs) != 1 || jobs[0].LocalSnapshot != b.c.newestSnapshot {
			t.Errorf("the disk was given %v", jobs)
		}

		stale := &encodedSnapshot{b.c.node, &raft.Snapshot{Index: tune.PointEvery * 2, Data: []byte{1}}, 1}
		b.step(raft.Message{Kind: raft.MsgSnapshot, From: "b", Term: 3, Snapshot: snapshotOf(t, tune.PointEvery*3, "y")})
		b.rest()
		b.c.onSnapshotEncoded(t.Context(), stale)
		if b.c.newestSnapshot.Index != tune.PointEvery*3 || len(b.c.diskJobs) > 0 || len(b.c.audit.own) > 0 {
			t.Error("a snapshot replaced a newer one")
		}
	})
}
