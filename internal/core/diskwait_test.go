package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/discovery"
	"tealpond/internal/kernel"
	"tealpond/internal/raft"
	"tealpond/internal/settings"
	"tealpond/internal/store"
	"tealpond/internal/tracing"
	"tealpond/internal/tune"
)

// elect makes the node of c the leader of three, with one follower that
// answers.
func elect(t *testing.T, c *Core) {
	t.Helper()
	vs := []raft.Member{{Node: "a", ID: c.self.ID}, {Node: "b", ID: "b"}, {Node: "d", ID: "d"}}
	c.startNode(raft.Snapshot{Index: 1, Voters: vs})
	time.Sleep(10 * time.Second)
	c.node.Tick(time.Now())
	answer := func(message raft.Message) {
		message.From, message.To = "b", c.self.ID
		c.node.Step(message, time.Now())
	}
	synced := func() raft.Ready {
		o := c.node.Ready()
		c.node.WriteSynced(o.WriteToken)
		return o
	}
	answer(raft.Message{Kind: raft.MsgPreVoteResponse, Term: c.node.Term() + 1})
	synced()
	answer(raft.Message{Kind: raft.MsgVoteResponse, Term: c.node.Term()})
	o := synced()
	for _, message := range append(o.Messages, o.MessagesAfterSync...) {
		if message.To == "b" && message.Kind == raft.MsgAppend {
			answer(raft.Message{Kind: raft.MsgAppendResponse, Term: message.Term, Index: c.node.LastIndex(), SendStamp: message.SendStamp})
		}
	}
	c.node.Ready()
	c.node.NextCommittedEntries()
	if !c.node.LeaderReady() {
		t.Fatal("it does not lead")
	}
}

func newTestCore(t *testing.T, dir string) *Core {
	t.Helper()
	b := kernel.Base{Setting: settings.File{NodeName: "a", IPAddress: "127.0.0.1", InnerPortRange: []int{1, 9}, DataDir: dir, LossCounts: true},
		Log: log.NewNopLogger(), Trace: tracing.NewRing(16)}
	c, err := New(b, discovery.NewClient(b.Log, "", nil, nil, func(int64) {}, nil))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newTestLeader gives a core that leads, with the identity "a".
func newTestLeader(t *testing.T, dir string) *Core {
	t.Helper()
	c := newTestCore(t, dir)
	c.self.ID = "a"
	elect(t, c)
	return c
}

// A leader whose disk syncs nothing hands the lead on, once a second as long as
// it leads; one whose disk keeps up does not.
func TestLeaderWithAStalledDiskHandsTheLeadOn(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newTestLeader(t, dir)
		for _, x := range []struct {
			behind time.Duration
			want   int
		}{{0, 0}, {tune.DiskBehind - 1, 0}, {tune.DiskBehind, 1}, {tune.DiskBehind, 0}} {
			c.onBehind(time.Now(), x.behind)
			sent := 0
			for _, message := range c.node.Ready().Messages {
				if message.Kind == raft.MsgTimeoutNow {
					sent++
				}
			}
			if sent != x.want {
				t.Fatalf("%v behind: handed on %d times, want %d", x.behind, sent, x.want)
			}
		}
	})
}

// With too many writes under way no command is taken on.
func TestMemberWithAFullDiskTakesNoMoreOn(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newTestLeader(t, dir)
		for _, x := range []struct {
			writes int
			taken  bool
		}{{tune.DiskJobs - 1, true}, {tune.DiskJobs, false}} {
			c.writesInFlight = x.writes
			last, answered := c.node.LastIndex(), false
			c.commands, c.replies = []store.Raw{{}}, []func(store.Outcome, bool){func(_ store.Outcome, ok bool) { answered = !ok }}
			time.Sleep(time.Second)
			c.propose(time.Now())
			if taken := c.node.LastIndex() > last; taken != x.taken || answered == x.taken {
				t.Errorf("%d writes under way: taken %v, refused %v", x.writes, taken, answered)
			}
		}
	})
}
