package server

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/aggregator"
	"tealpond/internal/counter"
	"tealpond/internal/daemon"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/state"
	"tealpond/internal/storage"
	"tealpond/internal/timing"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// harness is a replica without its event loop, streams and storage. A test passes it messages and
// calls finishIteration as the loop would. It runs in virtual time (package synctest).
type harness struct {
	t       *testing.T
	replica *Replica
}

var testVoters = []raft.Member{{Node: "n-a", ID: "a"}, {Node: "n-b", ID: "b"}, {Node: "n-c", ID: "c"}}

// newHarness returns the replica of the first voter, bootstrapped and with an empty state.
func newHarness(t *testing.T) *harness {
	t.Helper()
	replica := newReplica()
	replica.log, replica.trace, replica.settings = log.NewNopLogger(), tracing.NewRing(16), settings.File{NodeName: "n-a"}
	replica.self, replica.aggregator = testVoters[0], aggregator.New("a")
	replica.events, replica.writeQueue = make(chan loopEvent, 64), make(chan storage.WriteRequest, 1024)
	replica.leaseDuration = timing.MaxLeaseDuration
	replica.counts = newCounts("a", counter.DefaultWindow, time.Now())
	replica.storageOpened.Store(true)
	replica.startNode(raft.Snapshot{Index: 1, Voters: testVoters})
	return &harness{t: t, replica: replica}
}

// testEnvironment returns the environment of a server with its data in dir.
func testEnvironment(dir string, logger log.Logger) daemon.Environment {
	return daemon.Environment{Log: logger, Trace: tracing.NewRing(16),
		Settings: settings.File{NodeName: "a", IPAddress: "127.0.0.1", InnerPortRange: []int{1, 9}, DataDir: dir, LossCounts: true}}
}

// receive passes the node a message as if it had arrived on a stream.
func (h *harness) receive(message raft.Message) {
	message.To = h.replica.self.ID
	frame := transport.Frame{Kind: rpc.FrameRaft, Body: transport.Encode(message)}
	h.replica.handleEvent(h.t.Context(), loopEvent{transport: &transport.Event{Frame: frame}})
}

// finishIteration ends an iteration of the event loop, and reports all of its writes as synced.
func (h *harness) finishIteration() []storage.WriteRequest {
	h.replica.finishIteration(h.t.Context(), time.Now())
	var writes []storage.WriteRequest
	for len(h.replica.writeQueue) > 0 {
		writes = append(writes, <-h.replica.writeQueue)
	}
	if len(writes) > 0 {
		h.replica.handleEvent(h.t.Context(), loopEvent{written: writes})
	}
	return writes
}

// electLeader has the other voters elect this replica, and commits the first entry of its term.
func (h *harness) electLeader() {
	h.t.Helper()
	node := h.replica.node
	for i := 0; i < 50 && !h.replica.leading; i++ {
		time.Sleep(timing.HeartbeatInterval)
		h.finishIteration()
		switch {
		case node.IsLeader():
			h.acknowledge("b")
		default:
			h.receive(raft.Message{Kind: raft.MsgPreVoteResponse, From: "b", Term: node.Term() + 1})
			h.receive(raft.Message{Kind: raft.MsgVoteResponse, From: "b", Term: node.Term()})
		}
		h.finishIteration()
	}
	if !h.replica.leading {
		h.t.Fatal("replica was not elected leader")
	}
	// Commits the commands that a new leader proposes, too.
	time.Sleep(time.Second / 10)
	h.finishIteration()
	h.acknowledge("b")
	h.finishIteration()
}

// acknowledge has a voter acknowledge all log entries of this leader.
func (h *harness) acknowledge(from string) {
	h.receive(raft.Message{
		Kind:      raft.MsgAppendResponse,
		From:      from,
		Term:      h.replica.node.Term(),
		Index:     h.replica.node.LastIndex(),
		SendStamp: time.Now().UnixNano(),
	})
}

// newLeader returns a replica that is leader and holds a lease.
func newLeader(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.electLeader()
	return h
}

// runIteration advances the time by 10 ms, and has the leader's proposals committed.
func (h *harness) runIteration() {
	time.Sleep(10 * time.Millisecond)
	h.finishIteration()
	if h.replica.node.IsLeader() {
		h.acknowledge("b")
	}
	h.finishIteration()
}

// call sends a request to this replica, and runs loop iterations until there is a response.
func (h *harness) call(kind string, body any) rpc.Response {
	h.t.Helper()
	h.runIteration()
	var responses []rpc.Response
	h.replica.handleRequest(rpc.Request{Kind: kind, Body: transport.Encode(body)}, nil, func(response rpc.Response) { responses = append(responses, response) })
	for i := 0; i < 200 && len(responses) == 0; i++ {
		h.runIteration()
	}
	if len(responses) != 1 {
		h.t.Fatalf("%s got %d responses, want 1", kind, len(responses))
	}
	return responses[0]
}

// commandEntry returns the data of a log entry with one command.
func commandEntry(name string, command state.Command) []byte {
	return transport.Encode(state.Batch{Clock: 1, Commands: []state.EncodedCommand{state.EncodeCommand(name, command)}})
}

// appointmentEntry returns the data of a log entry that leaves a mark in the state: it appoints no
// member as the aggregator of the given zone.
func appointmentEntry(zone string) []byte {
	return commandEntry(state.CommandAppointAggregator, &state.AppointAggregator{Aggregator: state.ZoneAggregator{Zone: zone}})
}
