package core

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/aggregator"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/storage"
	"tealpond/internal/store"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// bench is a core without its loop, streams and disk: a test hands it messages
// and calls rest as the loop would. It runs in a bubble of virtual time.
type bench struct {
	t *testing.T
	c *Core
}

var testVoters = []raft.Member{{Node: "n-a", ID: "a"}, {Node: "n-b", ID: "b"}, {Node: "n-c", ID: "c"}}

// newBench gives the core of the first voter, founded and empty.
func newBench(t *testing.T) *bench {
	c := &Core{log: log.NewNopLogger(), self: testVoters[0], diskJobs: make(chan storage.WriteRequest, 1024), events: make(chan Event, 64),
		connections: map[string]*transport.Stream{}, dialing: map[string]time.Time{}, addrs: map[string]string{}, inbound: map[string]*transport.Stream{},
		waiters: map[uint64]waiter{}, leases: map[string]*workerLease{}, memberLeases: map[string]memberLease{}, statusWaiters: map[string][]statusWaiter{},
		sessions: map[string]*sideSession{}, orders: map[*transport.Stream][]rpc.Assignment{}, aggregator: aggregator.New("a"), memberSets: map[string]memberSet{},
		appointments: newAppointments(), audit: newAudit(), outgoing: map[string]*outgoing{}, incoming: map[string]*incoming{}, cancelWaiters: map[string][]replyFunc{}, trace: tracing.NewRing(16), meter: newMeter(false), settings: settings.File{NodeName: "n-a"},
		state: store.New(store.Limits{}), leaseTime: tune.Hold}
	c.opened.Store(true)
	c.startNode(raft.Snapshot{Index: 1, Voters: testVoters})
	return &bench{t: t, c: c}
}

// step hands the node a message as it comes in on a stream.
func (b *bench) step(message raft.Message) {
	message.To = b.c.self.ID
	b.c.handle(b.t.Context(), Event{Link: &transport.Event{Frame: transport.Frame{Kind: rpc.FrameRaft, Body: transport.Encode(message)}}})
}

// rest ends a turn of the loop and has all writes of it succeed.
func (b *bench) rest() []storage.WriteRequest {
	b.c.endTurn(b.t.Context(), time.Now())
	var jobs []storage.WriteRequest
	for len(b.c.diskJobs) > 0 {
		jobs = append(jobs, <-b.c.diskJobs)
	}
	if len(jobs) > 0 {
		b.c.handle(b.t.Context(), Event{Wrote: jobs})
	}
	return jobs
}

// lead has the others elect this core and settles the first entry of its term.
func (b *bench) lead() {
	b.t.Helper()
	n := b.c.node
	for i := 0; i < 50 && !b.c.leading; i++ {
		time.Sleep(tune.Beat)
		b.rest()
		switch {
		case n.IsLeader():
			b.ack("b")
		default:
			b.step(raft.Message{Kind: raft.MsgPreVoteResponse, From: "b", Term: n.Term() + 1})
			b.step(raft.Message{Kind: raft.MsgVoteResponse, From: "b", Term: n.Term()})
		}
		b.rest()
	}
	if !b.c.leading {
		b.t.Fatal("it does not lead")
	}
	// What a new leader puts into the log is settled too.
	time.Sleep(time.Second / 10)
	b.rest()
	b.ack("b")
	b.rest()
}

// ack has a voter acknowledge all entries of this leader.
func (b *bench) ack(from string) {
	b.step(raft.Message{Kind: raft.MsgAppendResponse, From: from, Term: b.c.node.Term(), Index: b.c.node.LastIndex(), SendStamp: time.Now().UnixNano()})
}

// appoint is an entry that gives a zone's duty to nobody, to be seen in the state.
func appoint(zone string) []byte {
	return transport.Encode(store.Batch{Clock: 1, Cmds: []store.Raw{store.Encode("appoint", &store.Appoint{Duty: store.Duty{Zone: zone}})}})
}
