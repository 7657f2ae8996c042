package server

import (
	"bytes"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/transport"
)

// TestSnapshotTransferCompletesOverLossyLink checks that a transfer completes although chunks and
// acknowledgements are lost and duplicated at random and the receiver is restarted during the
// transfer.
func TestSnapshotTransferCompletesOverLossyLink(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		sizes := []int{
			1,
			snapshotChunkBytes - 1,
			snapshotChunkBytes,
			snapshotChunkBytes + 1,
			5*snapshotChunkBytes + 7,
		}
		data := make([]byte, sizes[random.Intn(len(sizes))])
		random.Read(data)
		now := time.Unix(0, 0)
		sender := newSnapshotSender(raft.Message{
			Kind:     raft.MsgSnapshot,
			From:     "a",
			To:       "b",
			Term:     3,
			Snapshot: &raft.Snapshot{Index: 9, Term: 2, Data: data},
		}, now)
		receiver, now := transferOverLossyLink(t, seed, sender, now, random)
		if !bytes.Equal(receiver.data, data) {
			t.Fatalf("seed %d: received bytes differ from the bytes sent", seed)
		}
		sender.acknowledge(snapshotAck{"b", "a", 9, len(data)}, now)
		repeated := raft.Message{Term: 3, Snapshot: &raft.Snapshot{Index: 9}}
		if chunk := sender.nextChunk(now); !sender.canServe(repeated, now.Add(time.Hour)) || len(chunk.Data) > 0 || chunk.Offset != len(data) {
			t.Fatal("acknowledged bytes are sent again")
		}
		if sender.canServe(raft.Message{Term: 4, Snapshot: repeated.Snapshot}, now) || sender.canServe(raft.Message{Term: 3, Snapshot: &raft.Snapshot{Index: 10}}, now) {
			t.Fatal("transfer serves another term or a newer snapshot")
		}
		// The receiver was restarted and has lost the snapshot.
		if sender.acknowledge(snapshotAck{"b", "a", 9, 0}, now); !sender.canServe(repeated, now) || sender.canServe(repeated, now.Add(snapshotTransferStallTimeout)) {
			t.Fatal("a progressing transfer was restarted, or a stalled one was not")
		}
	}
}

// transferOverLossyLink runs a transfer until it is complete. It returns the receiver and the time
// at completion.
func transferOverLossyLink(
	t *testing.T, seed int64, sender *snapshotSender, now time.Time, random *rand.Rand,
) (*snapshotReceiver, time.Time) {
	t.Helper()
	newReceiver := func() *snapshotReceiver { return &snapshotReceiver{index: 9, term: 2, total: len(sender.data)} }
	receiver, restarts, complete := newReceiver(), random.Intn(3), false
	for step := 0; !complete; step++ {
		if step > 10000 {
			t.Fatalf("seed %d: transfer not complete after 10000 steps", seed)
		}
		now = now.Add(snapshotChunkRetryInterval)
		chunk := sender.nextChunk(now)
		if len(chunk.Data) > snapshotChunkBytes {
			t.Fatalf("chunk of %d bytes exceeds the maximum", len(chunk.Data))
		}
		if random.Intn(5) == 0 {
			continue // the chunk is lost
		}
		if restarts > 0 && random.Intn(6) == 0 {
			receiver, restarts = newReceiver(), restarts-1
		}
		for range 1 + random.Intn(6)/5 {
			var received int
			if received, complete = receiver.add(chunk); random.Intn(5) == 0 {
				continue // the acknowledgement is lost
			}
			sender.acknowledge(snapshotAck{"b", "a", 9, received}, now)
		}
	}
	return receiver, now
}

// TestSnapshotReceiverExpectsItsSnapshot checks that a chunk of another snapshot, or of another
// total length, does not belong to the transfer.
func TestSnapshotReceiverExpectsItsSnapshot(t *testing.T) {
	chunk := func(index, term uint64, total int) snapshotChunk {
		return snapshotChunk{Message: raft.Message{Snapshot: &raft.Snapshot{Index: index, Term: term}}, Total: total}
	}
	receiver := newSnapshotReceiver(chunk(9, 2, 100))
	if !receiver.expects(chunk(9, 2, 100)) {
		t.Error("chunk of the same snapshot is not expected")
	}
	var none *snapshotReceiver
	if none.expects(chunk(9, 2, 100)) ||
		receiver.expects(chunk(10, 2, 100)) || receiver.expects(chunk(9, 3, 100)) || receiver.expects(chunk(9, 2, 101)) {
		t.Error("chunk of another snapshot is expected")
	}
	if received, complete := receiver.add(snapshotChunk{Offset: 50, Data: make([]byte, 50)}); received != 0 || complete {
		t.Errorf("a chunk after a gap was accepted: %d bytes", received)
	}
}

// TestSnapshotIsInstalledOnceComplete checks that a received snapshot is installed only when all of
// it has arrived. A chunk for another member ID and a transfer of a snapshot that the replica is
// already past have no effect.
func TestSnapshotIsInstalledOnceComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		snapshot := snapshotOf(t, 10, "z")
		data := snapshot.Data
		deliverChunk := func(to string, offset, end int) {
			withoutData := *snapshot
			withoutData.Data = nil
			chunk := snapshotChunk{
				Message: raft.Message{Kind: raft.MsgSnapshot, From: "b", To: to, Term: 3, Snapshot: &withoutData},
				Total:   len(data),
				Offset:  offset,
				Data:    data[offset:end],
			}
			frame := transport.Frame{Kind: frameSnapshotChunk, Body: transport.Encode(chunk)}
			h.replica.handleEvent(t.Context(), loopEvent{transport: &transport.Event{Frame: frame}})
			h.finishIteration()
		}
		half := len(data) / 2
		deliverChunk("a", 0, half)
		deliverChunk("other", half, len(data))
		deliverChunk("a", 0, half)
		if h.replica.state.AppliedIndex != 1 {
			t.Fatalf("incomplete snapshot was installed: applied index %d", h.replica.state.AppliedIndex)
		}
		deliverChunk("a", half, len(data))
		if h.replica.state.AppliedIndex != 10 || len(h.replica.incomingSnapshots) != 0 {
			t.Fatalf("applied index is %d, %d transfers left", h.replica.state.AppliedIndex, len(h.replica.incomingSnapshots))
		}
		deliverChunk("a", 0, half)
		if h.replica.state.AppliedIndex != 10 || len(h.replica.incomingSnapshots) != 0 {
			t.Error("a chunk of an outdated snapshot had an effect")
		}
	})
}

// TestLostSnapshotResponseIsRepeated checks the case that all chunks have arrived but the Raft
// response was lost. The node then repeats its message, which is sent without data, and the
// receiver responds again.
func TestLostSnapshotResponseIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		snapshot := snapshotOf(t, 10, "z")
		now := time.Now()
		sender := newSnapshotSender(raft.Message{Kind: raft.MsgSnapshot, From: "b", To: "a", Term: 3, Snapshot: snapshot}, now)
		deliverChunk := func(chunk snapshotChunk) {
			h.replica.handleEvent(t.Context(), loopEvent{transport: &transport.Event{Frame: transport.Frame{Kind: frameSnapshotChunk, Body: transport.Encode(chunk)}}})
		}
		for !sender.complete() {
			chunk := sender.nextChunk(now)
			deliverChunk(chunk)
			sender.acknowledge(snapshotAck{"a", "b", snapshot.Index, chunk.Offset + len(chunk.Data)}, now)
		}
		h.finishIteration()
		if h.replica.state.AppliedIndex != 10 {
			t.Fatalf("applied index is %d, want 10", h.replica.state.AppliedIndex)
		}
		repeated := sender.nextChunk(now)
		if len(repeated.Data) != 0 {
			t.Errorf("%d bytes were sent again, want 0", len(repeated.Data))
		}
		deliverChunk(repeated)
		output := h.replica.node.Ready()
		if len(output.Messages)+len(output.MessagesAfterSync) != 1 {
			t.Errorf("%d responses, want 1", len(output.Messages)+len(output.MessagesAfterSync))
		}
	})
}
