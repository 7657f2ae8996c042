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

// handleEvents handles the events that goroutines have posted to the event loop.
func (h *harness) handleEvents() {
	synctest.Wait()
	for len(h.replica.events) > 0 {
		h.replica.handleEvent(h.t.Context(), <-h.replica.events)
	}
}

// reportDigest has another replica report a digest.
func (h *harness) reportDigest(from string, index, digest uint64) {
	report := digestReport{From: from, To: h.replica.self.ID, Index: index, Digest: digest, Program: h.replica.programVersion()}
	frame := transport.Frame{Kind: frameDigest, Body: transport.Encode(report)}
	h.replica.handleEvent(h.t.Context(), loopEvent{transport: &transport.Event{Frame: frame}})
}

// applyUpTo commits entries until the state has applied the given index.
func (h *harness) applyUpTo(index uint64) {
	h.t.Helper()
	for i := 0; h.replica.state.AppliedIndex < index && i < 20000; i++ {
		if h.replica.node.LastIndex() < index {
			h.replica.enqueueCommand(state.CommandCollectGarbage, &state.CollectGarbage{}, nil)
		}
		time.Sleep(3 * time.Millisecond)
		h.finishIteration()
		h.acknowledge("b")
		h.acknowledge("c")
		h.finishIteration()
	}
	if h.replica.state.AppliedIndex < index {
		h.t.Fatalf("applied index is only %d", h.replica.state.AppliedIndex)
	}
}

// useDataDir gives the replica a storage directory, which can be set aside.
func (h *harness) useDataDir(dir string) {
	h.replica.settings.DataDir = dir
	h.replica.stopWriter = func() {}
}

// TestLeaderProposesMajorityDigest checks that the leader writes the digest of the majority to the
// log, and discards its own state if its own digest is the different one.
func TestLeaderProposesMajorityDigest(t *testing.T) {
	const index = digestInterval
	for name, test := range map[string]struct {
		b, c      uint64 // difference of the reported digests from the leader's
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
				h.electLeader()
				h.applyUpTo(index)
				local, ok := h.replica.digests.local[index]
				if !ok || local == 0 {
					t.Fatalf("no local digest at index %d", index)
				}
				h.reportDigest("b", index, local+test.b)
				if test.reports > 1 {
					h.reportDigest("c", index, local+test.c)
				}
				confirmed := false
				for _, command := range h.replica.commands {
					confirmed = confirmed || command.Name == state.CommandConfirmDigest
				}
				if confirmed != test.confirmed || (h.replica.digests.divergedAt > 0) != test.discards || h.replica.digests.decided[index] != (test.confirmed || test.discards || test.disagrees) {
					t.Errorf("confirmed %v, diverged at %d, decided %v", confirmed, h.replica.digests.divergedAt, h.replica.digests.decided[index])
				}
				h.finishIteration()
				if (h.replica.node == nil) != test.discards {
					t.Errorf("node after the iteration: %v", h.replica.node)
				}
			})
		})
	}
}

// commitAsFollower has the replica, as a follower of leader "b", commit one entry.
func (h *harness) commitAsFollower(index uint64, data []byte) {
	h.t.Helper()
	last := index - 1
	logTerm, _ := h.replica.node.TermAt(last)
	h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: 3, Index: last, LogTerm: logTerm, Commit: index, Entries: []raft.Entry{{Index: index, Term: 3, Data: data}}})
	h.finishIteration()
}

// confirmDigestEntry returns the data of a log entry that confirms a digest.
func confirmDigestEntry(index, digest uint64, version string) []byte {
	return commandEntry(state.CommandConfirmDigest, &state.ConfirmDigest{Index: index, Digest: digest, ProgramVersion: version})
}

// TestDivergedReplicaRejoinsWithNewIdentity checks that a replica that learns from the log that its
// digest differs from the majority's stops voting and answering requests, sets its storage aside,
// and rejoins under a new identity with an empty state.
func TestDivergedReplicaRejoinsWithNewIdentity(t *testing.T) {
	dir := t.TempDir()
	opened, persisted, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	ended, end := context.WithCancel(t.Context())
	end()
	opened.Run(ended, make(chan storage.WriteRequest), nil) // closes the storage
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.useDataDir(dir)
		const index = digestInterval
		h.commitAsFollower(2, commandEntry(state.CommandSetLimits, &state.SetLimits{}))
		for i := uint64(3); i <= index; i++ {
			h.commitAsFollower(i, appointmentEntry("z"))
		}
		local, ok := h.replica.digests.local[index]
		if !ok {
			t.Fatal("no local digest")
		}
		h.commitAsFollower(index+1, confirmDigestEntry(index, local, h.replica.programVersion()))
		h.commitAsFollower(index+2, confirmDigestEntry(index, local+1, "another"))
		h.commitAsFollower(index+3, confirmDigestEntry(7, local+1, h.replica.programVersion()))
		if h.replica.node == nil {
			t.Fatal("state discarded without a different digest of this program version")
		}
		unknown := 0
		h.replica.pending[index+9] = pendingEntry{term: 3, replies: []commandReply{func(state.Outcome, bool) { unknown++ }}}
		h.commitAsFollower(index+4, confirmDigestEntry(index, local+1, h.replica.programVersion()))
		if h.replica.node != nil || unknown != 1 || h.replica.self.ID != "" {
			t.Fatalf("member ID is still %q, callers got %d replies, want 1", h.replica.self.ID, unknown)
		}
		h.requireInactive()
		for h.replica.node == nil {
			h.handleEvents()
			time.Sleep(time.Millisecond)
		}
		if h.replica.self.ID == "" || h.replica.self.ID == persisted.ID || h.replica.self.ID == "a" || h.replica.state.AppliedIndex != 0 || h.replica.node.IsVoter(h.replica.self.ID) {
			t.Errorf("rejoined as %q with the state at index %d", h.replica.self.ID, h.replica.state.AppliedIndex)
		}
		if _, err := os.Stat(filepath.Join(dir, "tealpond.db.differs")); err != nil {
			t.Error(err)
		}
		// Writes of the previous identity are ignored.
		h.replica.handleEvent(t.Context(), loopEvent{written: []storage.WriteRequest{{}}})
		if h.replica.writesInFlight != 0 {
			t.Error("a write of the discarded storage was counted")
		}
		h.replica.stopWriter()
	})
}

// requireInactive checks that the replica neither votes, nor starts because of a bootstrap
// proposal, nor answers as leader.
func (h *harness) requireInactive() {
	h.t.Helper()
	h.receive(raft.Message{Kind: raft.MsgVote, From: "b", Term: 9, Index: 999, LogTerm: 9, Force: true})
	h.replica.handleEvent(h.t.Context(), loopEvent{bootstrapProposal: &rpc.BootstrapProposal{Voters: testVoters, Start: true}})
	if h.finishIteration(); h.replica.node != nil {
		h.t.Fatal("replica restarted its node with the diverged state")
	}
	var code rpc.Code
	h.replica.handleRequest(rpc.Request{Kind: rpc.KindGetConfig}, nil, func(response rpc.Response) { code = response.Code })
	if code != rpc.CodeNotLeader {
		h.t.Errorf("response code %d, want CodeNotLeader", code)
	}
}

// TestSnapshotsAreTakenAtFixedIndexes checks that each replica takes snapshots at the same indexes,
// however many entries are committed in one loop iteration. A snapshot is dropped if a newer one
// was received while it was encoded.
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
		h.finishIteration()
		h.finishIteration()
		if h.replica.state.AppliedIndex != SnapshotInterval+200 || !h.replica.encodingSnapshot {
			t.Fatalf("applied index %d, encoding a snapshot: %v", h.replica.state.AppliedIndex, h.replica.encodingSnapshot)
		}
		h.handleEvents()
		writes := h.finishIteration()
		snapshot := h.replica.latestSnapshot
		if snapshot == nil || snapshot.Index != SnapshotInterval ||
			h.replica.digests.local[SnapshotInterval] != state.SnapshotDigest(snapshot.Data) {
			t.Fatalf("snapshot is missing, at another index, or not the one of the digest: %v", snapshot)
		}
		store, err := state.DecodeSnapshot(snapshot.Data, state.Limits{})
		if err != nil || store.BindSnapshotIndex(SnapshotInterval) != nil ||
			store.Aggregators["z"].Revision != 1 || store.Aggregators["late"].Revision != 0 ||
			h.replica.state.Aggregators["late"].Revision != 1 {
			t.Errorf("snapshot is not of the state at its index: %v", err)
		}
		if len(writes) != 1 || writes[0].LocalSnapshot != h.replica.latestSnapshot {
			t.Errorf("writes handed to the storage: %v", writes)
		}

		stale := &encodedSnapshot{h.replica.node, &raft.Snapshot{Index: SnapshotInterval * 2, Data: []byte{1}}, 1}
		h.receive(raft.Message{Kind: raft.MsgSnapshot, From: "b", Term: 3, Snapshot: snapshotOf(t, SnapshotInterval*3, "y")})
		h.finishIteration()
		h.replica.handleSnapshotEncoded(t.Context(), stale)
		if h.replica.latestSnapshot.Index != SnapshotInterval*3 || len(h.replica.writeQueue) > 0 || len(h.replica.digests.local) > 0 {
			t.Error("an older snapshot replaced a newer one")
		}
	})
}
