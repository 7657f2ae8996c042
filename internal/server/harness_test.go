package server

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/aggregator"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/state"
	"tealpond/internal/storage"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// harness is a core without its loop, streams and disk: a test hands it messages
// and calls rest as the loop would. It runs in a bubble of virtual time.
type harness struct {
	t       *testing.T
	replica *Replica
}

var testVoters = []raft.Member{{Node: "n-a", ID: "a"}, {Node: "n-b", ID: "b"}, {Node: "n-c", ID: "c"}}

// newHarness gives the core of the first voter, founded and empty.
func newHarness(t *testing.T) *harness {
	replica := &Replica{log: log.NewNopLogger(), self: testVoters[0], writeQueue: make(chan storage.WriteRequest, 1024), events: make(chan Event, 64),
		connections: map[string]*transport.Stream{}, dialing: map[string]time.Time{}, addresses: map[string]string{}, inbound: map[string]*transport.Stream{},
		pending: map[uint64]pendingEntry{}, leases: map[string]*workerLease{}, memberLeases: map[string]memberLease{}, statusWaiters: map[string][]statusWaiter{},
		sessions: map[string]*agentSession{}, pendingAssignments: map[*transport.Stream][]rpc.Assignment{}, aggregator: aggregator.New("a"), memberSets: map[string]memberSet{},
		appointments: newAppointments(), digests: newDigestTracker(), outgoingSnapshots: map[string]*snapshotSender{}, incomingSnapshots: map[string]*snapshotReceiver{}, cancelWaiters: map[string][]replyFunc{}, trace: tracing.NewRing(16), metrics: newLoopMetrics(false), settings: settings.File{NodeName: "n-a"},
		state: state.New(state.Limits{}), leaseDuration: tuning.MaxLeaseDuration}
	replica.storageOpened.Store(true)
	replica.startNode(raft.Snapshot{Index: 1, Voters: testVoters})
	return &harness{t: t, replica: replica}
}

// receive hands the node a message as it comes in on a stream.
func (h *harness) receive(message raft.Message) {
	message.To = h.replica.self.ID
	h.replica.handleEvent(h.t.Context(), Event{Transport: &transport.Event{Frame: transport.Frame{Kind: rpc.FrameRaft, Body: transport.Encode(message)}}})
}

// endTurn ends a turn of the loop and has all writes of it succeed.
func (h *harness) endTurn() []storage.WriteRequest {
	h.replica.endTurn(h.t.Context(), time.Now())
	var jobs []storage.WriteRequest
	for len(h.replica.writeQueue) > 0 {
		jobs = append(jobs, <-h.replica.writeQueue)
	}
	if len(jobs) > 0 {
		h.replica.handleEvent(h.t.Context(), Event{Written: jobs})
	}
	return jobs
}

// becomeLeader has the others elect this core and settles the first entry of its term.
func (h *harness) becomeLeader() {
	h.t.Helper()
	node := h.replica.node
	for i := 0; i < 50 && !h.replica.leading; i++ {
		time.Sleep(tuning.HeartbeatInterval)
		h.endTurn()
		switch {
		case node.IsLeader():
			h.acknowledge("b")
		default:
			h.receive(raft.Message{Kind: raft.MsgPreVoteResponse, From: "b", Term: node.Term() + 1})
			h.receive(raft.Message{Kind: raft.MsgVoteResponse, From: "b", Term: node.Term()})
		}
		h.endTurn()
	}
	if !h.replica.leading {
		h.t.Fatal("it does not lead")
	}
	// What a new leader puts into the log is settled too.
	time.Sleep(time.Second / 10)
	h.endTurn()
	h.acknowledge("b")
	h.endTurn()
}

// acknowledge has a voter acknowledge all entries of this leader.
func (h *harness) acknowledge(from string) {
	h.receive(raft.Message{Kind: raft.MsgAppendResponse, From: from, Term: h.replica.node.Term(), Index: h.replica.node.LastIndex(), SendStamp: time.Now().UnixNano()})
}

// appointmentEntry is an entry that gives a zone's duty to nobody, to be seen in the state.
func appointmentEntry(zone string) []byte {
	return transport.Encode(state.Batch{Clock: 1, Commands: []state.EncodedCommand{state.EncodeCommand("appoint", &state.AppointAggregator{Aggregator: state.ZoneAggregator{Zone: zone}})}})
}
