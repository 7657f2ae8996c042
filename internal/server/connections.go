package server

import (
	"context"
	"maps"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// voterConnectInterval is the interval at which a server tries to open missing streams to other
// voters.
const voterConnectInterval = 100 * time.Millisecond

// peerStreams holds the streams to and from other servers, and their addresses.
type peerStreams struct {
	dialed         map[string]*transport.Stream // by address
	dialing        map[string]time.Time         // by address; zero while dialing, else when to retry
	addresses      map[string]string            // by member ID, of members that are not voters
	votersDialedAt time.Time                    // when missing streams to voters were last opened
	inbound        map[string]*transport.Stream // by member ID, the stream of its last message
}

func newPeerStreams() peerStreams {
	return peerStreams{dialed: map[string]*transport.Stream{}, dialing: map[string]time.Time{}, addresses: map[string]string{}, inbound: map[string]*transport.Stream{}}
}

// handleTransport handles a frame from a stream, or the end of the stream.
func (r *Replica) handleTransport(ctx context.Context, event *transport.Event) {
	if event.Closed {
		r.handleStreamClosed(event.Stream)
		return
	}
	r.metrics.count("bytes_in", len(event.Frame.Body))
	switch event.Frame.Kind {
	case rpc.FrameRaft:
		r.handleRaftFrame(event.Frame.Body, event.Stream)
	case frameSnapshotChunk:
		r.handleSnapshotChunk(ctx, event.Frame.Body, event.Stream)
	case frameSnapshotAck:
		r.handleSnapshotAck(ctx, event.Frame.Body)
	case frameTally:
		r.handleTallyFrame(event.Frame.Body, event.Stream)
	case frameLinkProbe:
		r.handleLinkProbe(ctx, event.Frame.Body, event.Stream)
	case frameFormat:
		r.handleFormatMessage(ctx, event.Frame.Body, event.Stream)
	case frameDigest:
		r.handleDigestReport(event.Frame.Body)
	case rpc.FrameRequest:
		r.handleRequestFrame(event.Frame, event.Stream)
	}
}

// handleStreamClosed removes a stream that has ended.
func (r *Replica) handleStreamClosed(closed *transport.Stream) {
	isClosed := func(_ string, stream *transport.Stream) bool { return stream == closed }
	maps.DeleteFunc(r.peers.dialed, isClosed)
	maps.DeleteFunc(r.peers.inbound, isClosed)
	r.dropSessions(closed)
}

// handleRaftFrame passes a Raft message to the node. It starts the node first if this replica is
// bound to the founders of the cluster.
func (r *Replica) handleRaftFrame(body []byte, stream *transport.Stream) {
	r.metrics.count("raft_in", 1)
	if r.writeQueueFull() {
		return
	}
	var message raft.Message
	if transport.Decode(body, &message) != nil || message.To != r.self.ID {
		// The message is for an earlier member at this address, for example the one before the disk
		// was replaced.
		return
	}
	if r.node == nil {
		if len(r.persisted.Founders) == 0 {
			return
		}
		r.startNode(r.persisted.Snapshot)
	}
	r.peers.inbound[message.From] = stream
	r.node.Step(message, time.Now())
}

// handleRequestFrame handles a request and sends the response on the same stream.
func (r *Replica) handleRequestFrame(frame transport.Frame, stream *transport.Stream) {
	var request rpc.Request
	if transport.Decode(frame.Body, &request) != nil {
		stream.Close()
		return
	}
	id := frame.ID
	r.metrics.count("request_"+request.Kind, 1)
	r.handleRequest(request, stream, r.withAppliedVersions(func(response rpc.Response) {
		stream.Send(transport.Frame{Kind: rpc.FrameResponse, ID: id, Body: transport.Encode(response)})
	}))
}

// sendRaftMessages sends Raft messages to other members.
func (r *Replica) sendRaftMessages(ctx context.Context, messages []raft.Message) {
	for _, message := range messages {
		if message.Kind == raft.MsgSnapshot && message.Snapshot != nil && len(message.Snapshot.Data) > 0 {
			r.sendSnapshot(ctx, message)
			continue
		}
		raw := transport.Encode(message)
		if r.sendFrame(ctx, message.To, transport.Frame{Kind: rpc.FrameRaft, Body: raw, Repetitive: true}) {
			r.metrics.count("raft_out", 1)
			r.metrics.count("raft_bytes_out", len(raw))
		}
	}
}

// sendFrame sends a frame to another member. It returns false if there is no stream yet; the frame
// is then lost.
func (r *Replica) sendFrame(ctx context.Context, to string, frame transport.Frame) bool {
	r.sentBytes.add(len(frame.Body))
	address := r.addressOf(to)
	if address == "" {
		return r.sendOnInbound(to, frame)
	}
	stream := r.peers.dialed[address]
	if stream == nil {
		r.dial(ctx, address)
		return r.sendOnInbound(to, frame)
	}
	if !stream.Send(frame) {
		// The stream has ended, and its close event is still queued.
		delete(r.peers.dialed, address)
		r.dial(ctx, address)
		return r.sendOnInbound(to, frame)
	}
	return true
}

// sendOnInbound sends a frame to a member on the stream of its last message. A candidate does not
// know any addresses yet, and the first response after a snapshot, which contains them, must not be
// lost while a new connection is being opened.
func (r *Replica) sendOnInbound(to string, frame transport.Frame) bool {
	stream := r.peers.inbound[to]
	return stream != nil && stream.Send(frame)
}

// addressOf returns the address of a member, or "" if it is unknown.
func (r *Replica) addressOf(memberID string) string {
	for _, voter := range r.node.Voters() {
		if voter.ID == memberID {
			return voter.Addr
		}
	}
	return r.peers.addresses[memberID]
}

// connectVoters opens missing streams to other voters. A follower sends nothing until it starts an
// election. Without open streams its first vote requests would be lost while it connects, and the
// election would need another round.
func (r *Replica) connectVoters(ctx context.Context, now time.Time) {
	if now.Sub(r.peers.votersDialedAt) < voterConnectInterval {
		return
	}
	r.peers.votersDialedAt = now
	for _, voter := range r.node.Voters() {
		if voter.ID != r.self.ID && r.peers.dialed[voter.Addr] == nil {
			r.dial(ctx, voter.Addr)
		}
	}
}

// dial connects to a peer in the background, unless a dial is in progress or failed less than
// redialDelay ago.
func (r *Replica) dial(ctx context.Context, address string) {
	if retryAt, ok := r.peers.dialing[address]; ok && (retryAt.IsZero() || time.Now().Before(retryAt)) {
		return
	}
	r.peers.dialing[address] = time.Time{}
	go func() {
		stream, err := transport.Dial(ctx, address, r.Deliver)
		if err != nil {
			stream = nil
		}
		r.post(ctx, loopEvent{peerDialed: &dialedPeer{address, stream}})
	}()
}
