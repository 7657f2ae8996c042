package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/kernel"
	"tealpond/internal/member"
	"tealpond/internal/raft"
	"tealpond/internal/setting"
	"tealpond/internal/store"
	"tealpond/internal/trace"
	"tealpond/internal/tune"
)

// elect makes the node of c the leader of three, with one follower that
// answers.
func elect(t *testing.T, c *Core) {
	t.Helper()
	vs := []raft.Voter{{Node: "a", Disk: c.self.Disk}, {Node: "b", Disk: "b"}, {Node: "d", Disk: "d"}}
	c.startNode(raft.Point{Index: 1, Conf: vs})
	time.Sleep(10 * time.Second)
	c.node.Tick(time.Now())
	answer := func(message raft.Msg) {
		message.From, message.To = "b", c.self.Disk
		c.node.Step(message, time.Now())
	}
	synced := func() raft.Out {
		o := c.node.Take()
		c.node.Synced(o.Mark)
		return o
	}
	answer(raft.Msg{Kind: raft.MsgPreVoteAnswer, Term: c.node.Term() + 1})
	synced()
	answer(raft.Msg{Kind: raft.MsgVoteAnswer, Term: c.node.Term()})
	o := synced()
	for _, message := range append(o.Now, o.After...) {
		if message.To == "b" && message.Kind == raft.MsgAppend {
			answer(raft.Msg{Kind: raft.MsgAppendAnswer, Term: message.Term, Index: c.node.LastIndex(), Sent: message.Sent})
		}
	}
	c.node.Take()
	c.node.Settled()
	if !c.node.Ready() {
		t.Fatal("it does not lead")
	}
}

func newTestCore(t *testing.T, dir string) *Core {
	t.Helper()
	b := kernel.Base{Setting: setting.Setting{NodeName: "a", IPAddress: "127.0.0.1", InnerPortRange: []int{1, 9}, DataDir: dir, LossCounts: true},
		Log: log.NewNopLogger(), Trace: trace.NewRing(16)}
	c, err := New(b, member.NewSeeker(b.Log, "", nil, nil, func(int64) {}, nil))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newTestLeader gives a core that leads, with the identity "a".
func newTestLeader(t *testing.T, dir string) *Core {
	t.Helper()
	c := newTestCore(t, dir)
	c.self.Disk = "a"
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
			for _, message := range c.node.Take().Now {
				if message.Kind == raft.MsgTransfer {
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
