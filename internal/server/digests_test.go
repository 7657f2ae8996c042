package server

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/storage"
	"tealpond/internal/transport"
)

// handleEvents takes what runs beside the loop has sent to it.
func (h *harness) handleEvents() {
	synctest.Wait()
	for len(h.replica.events) > 0 {
		h.replica.handleEvent(h.t.Context(), <-h.replica.events)
	}
}

// reportDigest has another replica report its digest.
func (h *harness) reportDigest(from string, index, digest uint64) {
	report := digestReport{From: from, To: h.replica.self.ID, Index: index, Digest: digest, Program: programVersion}
	frame := transport.Frame{Kind: frameDigest, Body: transport.Encode(report)}
	h.replica.handleEvent(h.t.Context(), loopEvent{transport: &transport.Event{Frame: frame}})
}

// applyUpTo commits entries until the state has applied one.
func (h *harness) applyUpTo(index uint64) {
	h.t.Helper()
	for i := 0; h.replica.state.AppliedIndex < index && i < 20000; i++ {
		if h.replica.node.LastIndex() < index {
			h.replica.enqueueCommand(state.CommandCollectGarbage, &state.CollectGarbage{}, nil)
		}
		time.Sleep(3 * time.Millisecond)
		h.endTurn()
		h.acknowledge("b")
		h.acknowledge("c")
		h.endTurn()
	}
	if h.replica.state.AppliedIndex < index {
		h.t.Fatalf("it stands at %d", h.replica.state.AppliedIndex)
	}
}

// useDataDir gives the replica a real storage, which can be quarantined.
func (h *harness) useDataDir(dir string) {
	h.replica.settings.DataDir = dir
	h.replica.stopWriter = func() {}
}

// TestLeaderLogsDigestOfMajority: the leader puts the digest of the majority into the
// log, and discards its own state if it is the one that differs.
func TestLeaderLogsDigestOfMajority(t *testing.T) {
	const at = digestInterval
	for name, test := range map[string]struct {
		b, c      uint64 // what the others report, against this one's digest
		reports   int
		confirmed bool
		discards  bool
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
				h := newHarness(t)
				h.useDataDir(t.TempDir())
				h.becomeLeader()
				h.applyUpTo(at)
				own, ok := h.replica.digests.own[at]
				if !ok || own == 0 {
					t.Fatalf("no digest at %d", at)
				}
				h.reportDigest("b", at, own+test.b)
				if test.reports > 1 {
					h.reportDigest("c", at, own+test.c)
				}
				confirmed := false
				for _, command := range h.replica.commands {
					confirmed = confirmed || command.Name == state.CommandConfirmDigest
				}
				if confirmed != test.confirmed || (h.replica.digests.divergedAt > 0) != test.discards || h.replica.digests.decided[at] != (test.confirmed || test.discards || test.disagrees) {
					t.Errorf("confirmed %v, diverged at %d, decided %v", confirmed, h.replica.digests.divergedAt, h.replica.digests.decided[at])
				}
				h.endTurn()
				if (h.replica.node == nil) != test.discards {
					t.Errorf("its node: %v", h.replica.node)
				}
			})
		})
	}
}

// follow has the replica, as a follower, commit one entry of the leader "b".
func (h *harness) follow(index uint64, data []byte) {
	h.t.Helper()
	last := index - 1
	logTerm, _ := h.replica.node.TermAt(last)
	h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: last, LogTerm: logTerm, Commit: index, Entries: []raft.Entry{{Index: index, Term: 3, Data: data}}})
	h.endTurn()
}

// confirmDigest is an entry that confirms a digest.
func confirmDigest(index, digest uint64, version string) []byte {
	return commandEntry(state.CommandConfirmDigest, &state.ConfirmDigest{Index: index, Digest: digest, ProgramVersion: version})
}

// TestDivergedReplicaRejoinsWithNewIdentity: it hears of the majority's digest by the
// log, votes and answers no more, sets its storage aside, and comes back under a new
// identity with an empty state.
func TestDivergedReplicaRejoinsWithNewIdentity(t *testing.T) {
	dir := t.TempDir()
	opened, persisted, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	ended, end := context.WithCancel(t.Context())
	end()
	opened.Run(ended, make(chan storage.WriteRequest), nil) // closes it
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.useDataDir(dir)
		const at = digestInterval
		h.follow(2, commandEntry(state.CommandSetLimits, &state.SetLimits{}))
		for i := uint64(3); i <= at; i++ {
			h.follow(i, appointmentEntry("z"))
		}
		own, ok := h.replica.digests.own[at]
		if !ok {
			t.Fatal("it has no digest")
		}
		h.follow(at+1, confirmDigest(at, own, programVersion))
		h.follow(at+2, confirmDigest(at, own+1, "another"))
		h.follow(at+3, confirmDigest(7, own+1, programVersion))
		if h.replica.node == nil {
			t.Fatal("it discarded its state without a cause")
		}
		unknown := 0
		h.replica.pending[at+9] = pendingEntry{term: 3, replies: []commandReply{func(state.Outcome, bool) { unknown++ }}}
		h.follow(at+4, confirmDigest(at, own+1, programVersion))
		if h.replica.node != nil || unknown != 1 || h.replica.self.ID != "" {
			t.Fatalf("it goes on as %q, callers heard %d answers", h.replica.self.ID, unknown)
		}
		h.checkTakesNoPart()
		for h.replica.node == nil {
			h.handleEvents()
			time.Sleep(time.Millisecond)
		}
		if h.replica.self.ID == "" || h.replica.self.ID == persisted.ID || h.replica.self.ID == "a" || h.replica.state.AppliedIndex != 0 || h.replica.node.IsVoter(h.replica.self.ID) {
			t.Errorf("it came back as %q, state at %d", h.replica.self.ID, h.replica.state.AppliedIndex)
		}
		if _, err := os.Stat(filepath.Join(dir, "tealpond.db.differs")); err != nil {
			t.Error(err)
		}
		// The writes of the identity before count no more.
		h.replica.handleEvent(t.Context(), loopEvent{written: []storage.WriteRequest{{}}})
		if h.replica.writesInFlight != 0 {
			t.Error("a write of the old storage was counted")
		}
		h.replica.stopWriter()
	})
}

// checkTakesNoPart checks that the replica neither votes, nor starts by a proposal,
// nor answers for the leader.
func (h *harness) checkTakesNoPart() {
	h.t.Helper()
	h.receive(raft.Message{Kind: raft.MsgVote, From: "b", Term: 9, Index: 999, LogTerm: 9, Force: true})
	h.replica.handleEvent(h.t.Context(), loopEvent{bootstrapProposal: &rpc.BootstrapProposal{Voters: testVoters, Start: true}})
	if h.endTurn(); h.replica.node != nil {
		h.t.Fatal("it takes part again with its old state")
	}
	var code rpc.Code
	h.replica.handleRequest(rpc.Request{Kind: rpc.KindGetConfig}, nil, func(response rpc.Response) { code = response.Code })
	if code != rpc.CodeNotLeader {
		h.t.Errorf("it answers %d", code)
	}
}

// TestSnapshotsAreTakenAtFixedIndexes: at the same ones on each replica, however many
// entries are committed in one turn; and one that a received snapshot overtook is
// dropped.
func TestSnapshotsAreTakenAtFixedIndexes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		var entries []raft.Entry
		for i := uint64(2); i <= SnapshotInterval+200; i++ {
			zone := "z"
			if i > SnapshotInterval {
				zone = "late"
			}
			entries = append(entries, raft.Entry{Index: i, Term: 3, Data: appointmentEntry(zone)})
		}
		h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: 1, Commit: SnapshotInterval + 200, Entries: entries})
		h.endTurn()
		h.endTurn()
		if h.replica.state.AppliedIndex != SnapshotInterval+200 || !h.replica.encodingSnapshot {
			t.Fatalf("at %d, encoding: %v", h.replica.state.AppliedIndex, h.replica.encodingSnapshot)
		}
		h.handleEvents()
		writes := h.endTurn()
		snapshot := h.replica.latestSnapshot
		if snapshot == nil || snapshot.Index != SnapshotInterval ||
			h.replica.digests.own[SnapshotInterval] != state.SnapshotDigest(snapshot.Data) {
			t.Fatalf("the snapshot: %v", snapshot)
		}
		store, err := state.DecodeSnapshot(snapshot.Data, state.Limits{})
		if err != nil || store.BindSnapshotIndex(SnapshotInterval) != nil ||
			store.Aggregators["z"].Revision != 1 || store.Aggregators["late"].Revision != 0 ||
			h.replica.state.Aggregators["late"].Revision != 1 {
			t.Errorf("it holds what came after it: %v", err)
		}
		if len(writes) != 1 || writes[0].LocalSnapshot != h.replica.latestSnapshot {
			t.Errorf("the storage was given %v", writes)
		}

		stale := &encodedSnapshot{h.replica.node, &raft.Snapshot{Index: SnapshotInterval * 2, Data: []byte{1}}, 1}
		h.receive(raft.Message{Kind: raft.MsgSnapshot, From: "b", Term: 3, Snapshot: snapshotOf(t, SnapshotInterval*3, "y")})
		h.endTurn()
		h.replica.handleSnapshotEncoded(t.Context(), stale)
		if h.replica.latestSnapshot.Index != SnapshotInterval*3 || len(h.replica.writeQueue) > 0 || len(h.replica.digests.own) > 0 {
			t.Error("a snapshot replaced a newer one")
		}
	})
}
