package server

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/discovery"
	"tealpond/internal/raft"
	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// electLeader makes the node of a replica the leader of three, with one follower that
// responds.
func electLeader(t *testing.T, replica *Replica) {
	t.Helper()
	voters := []raft.Member{{Node: "a", ID: replica.self.ID}, {Node: "b", ID: "b"}, {Node: "d", ID: "d"}}
	replica.startNode(raft.Snapshot{Index: 1, Voters: voters})
	time.Sleep(10 * time.Second)
	replica.node.Tick(time.Now())
	respond := func(message raft.Message) {
		message.From, message.To = "b", replica.self.ID
		replica.node.Step(message, time.Now())
	}
	synced := func() raft.Ready {
		output := replica.node.Ready()
		replica.node.WriteSynced(output.WriteToken)
		return output
	}
	respond(raft.Message{Kind: raft.MsgPreVoteResponse, Term: replica.node.Term() + 1})
	synced()
	respond(raft.Message{Kind: raft.MsgVoteResponse, Term: replica.node.Term()})
	output := synced()
	for _, message := range append(output.Messages, output.MessagesAfterSync...) {
		if message.To == "b" && message.Kind == raft.MsgAppend {
			respond(raft.Message{Kind: raft.MsgAppendResponse, Term: message.Term, Index: replica.node.LastIndex(), SendStamp: message.SendStamp})
		}
	}
	replica.node.Ready()
	replica.node.NextCommittedEntries()
	if !replica.node.LeaderReady() {
		t.Fatal("it does not lead")
	}
}

// newTestLeader gives a replica that leads, with the identity "a".
func newTestLeader(t *testing.T, dir string) *Replica {
	t.Helper()
	replica := New(testEnvironment(dir, log.NewNopLogger()), discovery.NewClient(discovery.Options{}))
	replica.self.ID = "a"
	electLeader(t, replica)
	return replica
}

// TestLeaderWithStalledStorageTransfersLeadership: a leader whose storage syncs
// nothing transfers leadership, once a second as long as it leads; one whose storage
// keeps up does not.
func TestLeaderWithStalledStorageTransfersLeadership(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		replica := newTestLeader(t, dir)
		for _, test := range []struct {
			lag  time.Duration
			want int
		}{{0, 0}, {tuning.StorageStallTimeout - 1, 0}, {tuning.StorageStallTimeout, 1}, {tuning.StorageStallTimeout, 0}} {
			replica.handleStorageLag(time.Now(), test.lag)
			sent := 0
			for _, message := range replica.node.Ready().Messages {
				if message.Kind == raft.MsgTimeoutNow {
					sent++
				}
			}
			if sent != test.want {
				t.Fatalf("%v behind: transferred %d times, want %d", test.lag, sent, test.want)
			}
		}
	})
}

// TestFullWriteQueueRefusesProposals: with too many writes under way no command is
// taken on.
func TestFullWriteQueueRefusesProposals(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		replica := newTestLeader(t, dir)
		for _, test := range []struct {
			writes int
			taken  bool
		}{{tuning.MaxPendingStorageWrites - 1, true}, {tuning.MaxPendingStorageWrites, false}} {
			replica.writesInFlight = test.writes
			last, answered := replica.node.LastIndex(), false
			replica.commands, replica.replies = []state.EncodedCommand{{}}, []commandReply{func(_ state.Outcome, known bool) { answered = !known }}
			time.Sleep(time.Second)
			replica.proposeQueued(time.Now())
			if taken := replica.node.LastIndex() > last; taken != test.taken || answered == test.taken {
				t.Errorf("%d writes under way: taken %v, refused %v", test.writes, taken, answered)
			}
		}
	})
}
