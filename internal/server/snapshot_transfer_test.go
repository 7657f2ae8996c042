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

// TestSnapshotTransferCompletesOverLossyLink: chunks and acknowledgements are lost
// and duplicated at random, and the receiver is restarted in the middle.
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
			t.Fatalf("seed %d: other bytes arrived", seed)
		}
		sender.acknowledge(snapshotAck{"b", "a", 9, len(data)}, now)
		again := raft.Message{Term: 3, Snapshot: &raft.Snapshot{Index: 9}}
		if chunk := sender.nextChunk(now); !sender.serves(again, now.Add(time.Hour)) || len(chunk.Data) > 0 || chunk.Offset != len(data) {
			t.Fatal("what has arrived is sent again")
		}
		if sender.serves(raft.Message{Term: 4, Snapshot: again.Snapshot}, now) || sender.serves(raft.Message{Term: 3, Snapshot: &raft.Snapshot{Index: 10}}, now) {
			t.Fatal("it serves another leader's, or a newer snapshot")
		}
		// The receiver was restarted, without it.
		if sender.acknowledge(snapshotAck{"b", "a", 9, 0}, now); !sender.serves(again, now) || sender.serves(again, now.Add(snapshotTransferStallTimeout)) {
			t.Fatal("a transfer that gets on is begun anew, or one that does not isn't")
		}
	}
}

// transferOverLossyLink plays a transfer until all has arrived; it gives the receiver
// and the time by then.
func transferOverLossyLink(
	t *testing.T, seed int64, sender *snapshotSender, now time.Time, random *rand.Rand,
) (*snapshotReceiver, time.Time) {
	t.Helper()
	fresh := func() *snapshotReceiver { return &snapshotReceiver{index: 9, term: 2, total: len(sender.data)} }
	receiver, restarts, complete := fresh(), random.Intn(3), false
	for step := 0; !complete; step++ {
		if step > 10000 {
			t.Fatalf("seed %d: it does not arrive", seed)
		}
		now = now.Add(snapshotChunkRetryInterval)
		chunk := sender.nextChunk(now)
		if len(chunk.Data) > snapshotChunkBytes {
			t.Fatalf("a chunk of %d bytes", len(chunk.Data))
		}
		if random.Intn(5) == 0 {
			continue // the chunk is lost
		}
		if restarts > 0 && random.Intn(6) == 0 {
			receiver, restarts = fresh(), restarts-1
		}
		for range 1 + random.Intn(6)/5 {
			var have int
			if have, complete = receiver.add(chunk); random.Intn(5) == 0 {
				continue // the acknowledgement is lost
			}
			sender.acknowledge(snapshotAck{"b", "a", 9, have}, now)
		}
	}
	return receiver, now
}

// TestSnapshotReceiverExpectsItsSnapshot: a chunk of another snapshot, or of another
// length, begins a transfer of its own.
func TestSnapshotReceiverExpectsItsSnapshot(t *testing.T) {
	chunk := func(index, term uint64, total int) snapshotChunk {
		return snapshotChunk{Message: raft.Message{Snapshot: &raft.Snapshot{Index: index, Term: term}}, Total: total}
	}
	receiver := newSnapshotReceiver(chunk(9, 2, 100))
	if !receiver.expects(chunk(9, 2, 100)) {
		t.Error("its own chunk is not expected")
	}
	var none *snapshotReceiver
	if none.expects(chunk(9, 2, 100)) ||
		receiver.expects(chunk(10, 2, 100)) || receiver.expects(chunk(9, 3, 100)) || receiver.expects(chunk(9, 2, 101)) {
		t.Error("another chunk is expected")
	}
	if have, complete := receiver.add(snapshotChunk{Offset: 50, Data: make([]byte, 50)}); have != 0 || complete {
		t.Errorf("a chunk ahead of the others was taken: %d bytes", have)
	}
}

// TestSnapshotIsInstalledOnceComplete: a received snapshot is installed once all of it is
// there; a chunk for another identity, or a transfer that is overtaken, changes nothing.
func TestSnapshotIsInstalledOnceComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		snapshot := snapshotOf(t, 10, "z")
		data := snapshot.Data
		give := func(to string, offset, end int) {
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
			h.endTurn()
		}
		half := len(data) / 2
		give("a", 0, half)
		give("other", half, len(data))
		give("a", 0, half)
		if h.replica.state.AppliedIndex != 1 {
			t.Fatalf("half a snapshot was installed: %d", h.replica.state.AppliedIndex)
		}
		give("a", half, len(data))
		if h.replica.state.AppliedIndex != 10 || len(h.replica.incomingSnapshots) != 0 {
			t.Fatalf("the state is at %d, %d transfers left", h.replica.state.AppliedIndex, len(h.replica.incomingSnapshots))
		}
		give("a", 0, half)
		if h.replica.state.AppliedIndex != 10 || len(h.replica.incomingSnapshots) != 0 {
			t.Error("a snapshot that is no longer wanted is taken")
		}
	})
}

// TestLostSnapshotResponseIsRepeated: all chunks have arrived, the response of
// the consensus protocol was lost. When that repeats the message, it goes without the
// data, and the receiver responds by what it holds.
func TestLostSnapshotResponseIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		snapshot := snapshotOf(t, 10, "z")
		now := time.Now()
		sender := newSnapshotSender(raft.Message{Kind: raft.MsgSnapshot, From: "b", To: "a", Term: 3, Snapshot: snapshot}, now)
		give := func(chunk snapshotChunk) {
			h.replica.handleEvent(t.Context(), loopEvent{transport: &transport.Event{Frame: transport.Frame{Kind: frameSnapshotChunk, Body: transport.Encode(chunk)}}})
		}
		for !sender.complete() {
			chunk := sender.nextChunk(now)
			give(chunk)
			sender.acknowledge(snapshotAck{"a", "b", snapshot.Index, chunk.Offset + len(chunk.Data)}, now)
		}
		h.endTurn()
		if h.replica.state.AppliedIndex != 10 {
			t.Fatalf("the state is at %d", h.replica.state.AppliedIndex)
		}
		again := sender.nextChunk(now)
		if len(again.Data) != 0 {
			t.Errorf("%d bytes are sent again", len(again.Data))
		}
		give(again)
		out := h.replica.node.Ready()
		if len(out.Messages)+len(out.MessagesAfterSync) != 1 {
			t.Errorf("%d responses", len(out.Messages)+len(out.MessagesAfterSync))
		}
	})
}
