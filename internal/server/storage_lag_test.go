package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
)

// TestLeaderWithStalledStorageTransfersLeadership checks that a leader whose storage syncs nothing
// transfers leadership, at most once a second while it stays leader, and that a leader whose
// storage keeps up does not.
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
				t.Fatalf("storage lag %v: %d transfers, want %d", test.lag, sent, test.want)
			}
		}
	})
}

// TestFullWriteQueueRefusesProposals checks that no command is accepted while too many writes are
// pending.
func TestFullWriteQueueRefusesProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := newLeader(t).replica
		for _, test := range []struct {
			writes   int
			accepted bool
		}{{maxPendingStorageWrites - 1, true}, {maxPendingStorageWrites, false}} {
			replica.writesInFlight = test.writes
			last, refused := replica.node.LastIndex(), false
			replica.commands, replica.replies = []state.EncodedCommand{{}}, []commandReply{func(_ state.Outcome, known bool) { refused = !known }}
			time.Sleep(time.Second)
			replica.proposeQueued(time.Now())
			if accepted := replica.node.LastIndex() > last; accepted != test.accepted || refused == test.accepted {
				t.Errorf("%d pending writes: accepted %v, refused %v", test.writes, accepted, refused)
			}
		}
	})
}
