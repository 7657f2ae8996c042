package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
)

// TestLeaderWithStalledStorageTransfersLeadership: a leader whose storage syncs
// nothing transfers leadership, once a second as long as it leads; one whose storage
// keeps up does not.
func TestLeaderWithStalledStorageTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := newLeader(t).replica
		for _, test := range []struct {
			lag  time.Duration
			want int
		}{{0, 0}, {storageStallTimeout - 1, 0}, {storageStallTimeout, 1}, {storageStallTimeout, 0}} {
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
	synctest.Test(t, func(t *testing.T) {
		replica := newLeader(t).replica
		for _, test := range []struct {
			writes int
			taken  bool
		}{{maxPendingStorageWrites - 1, true}, {maxPendingStorageWrites, false}} {
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
