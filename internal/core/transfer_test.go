package core

import (
	"bytes"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// TestTransferArrivesWhole: pieces and answers are lost and doubled by lot, and
// the receiver is started anew in the middle.
func TestTransferArrivesWhole(t *testing.T) {
	for seed := range int64(200) {
		r := rand.New(rand.NewSource(seed))
		data := make([]byte, []int{1, tune.PieceBytes - 1, tune.PieceBytes, tune.PieceBytes + 1, 5*tune.PieceBytes + 7}[r.Intn(5)])
		r.Read(data)
		now := time.Unix(0, 0)
		transfer := newOutgoing(raft.Message{Kind: raft.MsgSnapshot, From: "a", To: "b", Term: 3, Snapshot: &raft.Snapshot{Index: 9, Term: 2, Data: data}}, now)
		fresh := func() *incoming { return &incoming{index: 9, term: 2, total: len(data)} }
		in, restarts, whole := fresh(), r.Intn(3), false
		for step := 0; !whole; step++ {
			if step > 10000 {
				t.Fatalf("seed %d: it does not arrive", seed)
			}
			now = now.Add(tune.PieceAgain)
			part := transfer.next(now)
			if len(part.Data) > tune.PieceBytes {
				t.Fatalf("a piece of %d bytes", len(part.Data))
			}
			if r.Intn(5) == 0 {
				continue // the piece is lost
			}
			if restarts > 0 && r.Intn(6) == 0 {
				in, restarts = fresh(), restarts-1
			}
			for range 1 + r.Intn(6)/5 {
				have := 0
				if have, whole = in.take(part); r.Intn(5) == 0 {
					continue // the answer is lost
				}
				transfer.got(pieceGot{"b", "a", 9, have}, now)
			}
		}
		if !bytes.Equal(in.data, data) {
			t.Fatalf("seed %d: other bytes arrived", seed)
		}
		transfer.got(pieceGot{"b", "a", 9, len(data)}, now)
		again := raft.Message{Term: 3, Snapshot: &raft.Snapshot{Index: 9}}
		if part := transfer.next(now); !transfer.stands(again, now.Add(time.Hour)) || len(part.Data) > 0 || part.Offset != len(data) {
			t.Fatal("what has arrived is sent again")
		}
		if transfer.stands(raft.Message{Term: 4, Snapshot: again.Snapshot}, now) || transfer.stands(raft.Message{Term: 3, Snapshot: &raft.Snapshot{Index: 10}}, now) {
			t.Fatal("it stands for another leader's, or a newer snapshot")
		}
		// The receiver was started anew, without it.
		if transfer.got(pieceGot{"b", "a", 9, 0}, now); !transfer.stands(again, now) || transfer.stands(again, now.Add(tune.PieceStall)) {
			t.Fatal("a transfer that gets on is begun anew, or one that does not isn't")
		}
	}
}

// TestPiecesMakeASnapshot: a received snapshot is installed once it is whole; a
// piece for another identity, or a transfer that is overtaken, changes nothing.
func TestPiecesMakeASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		point := snapshotOf(t, 10, "z")
		whole := point.Data
		give := func(to string, offset, end int) {
			point := *point
			point.Data = nil
			b.c.handle(t.Context(), Event{Link: &transport.Event{Frame: transport.Frame{Kind: framePiece, Body: transport.Encode(piece{
				raft.Message{Kind: raft.MsgSnapshot, From: "b", To: to, Term: 3, Snapshot: &point}, len(whole), offset, whole[offset:end]})}}})
			b.rest()
		}
		half := len(whole) / 2
		give("a", 0, half)
		give("other", half, len(whole))
		give("a", 0, half)
		if b.c.state.Applied != 1 {
			t.Fatalf("half a snapshot was installed: %d", b.c.state.Applied)
		}
		give("a", half, len(whole))
		if b.c.state.Applied != 10 || len(b.c.incoming) != 0 {
			t.Fatalf("the state is at %d, %d transfers left", b.c.state.Applied, len(b.c.incoming))
		}
		give("a", 0, half)
		if b.c.state.Applied != 10 || len(b.c.incoming) != 0 {
			t.Error("a snapshot that is no longer wanted is taken")
		}
	})
}

// TestLostAnswerToASnapshotIsGivenAgain: all pieces have arrived, the answer of
// the agreement was lost. When the agreement repeats the message, it goes without
// the bytes, and the receiver answers by what it holds.
func TestLostAnswerToASnapshotIsGivenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		point := snapshotOf(t, 10, "z")
		now := time.Now()
		transfer := newOutgoing(raft.Message{Kind: raft.MsgSnapshot, From: "b", To: "a", Term: 3, Snapshot: point}, now)
		give := func(part piece) {
			b.c.handle(t.Context(), Event{Link: &transport.Event{Frame: transport.Frame{Kind: framePiece, Body: transport.Encode(part)}}})
		}
		for !transfer.arrived() {
			part := transfer.next(now)
			give(part)
			transfer.got(pieceGot{"a", "b", point.Index, part.Offset + len(part.Data)}, now)
		}
		b.rest()
		if b.c.state.Applied != 10 {
			t.Fatalf("the state is at %d", b.c.state.Applied)
		}
		again := transfer.next(now)
		if len(again.Data) != 0 {
			t.Errorf("%d bytes are sent again", len(again.Data))
		}
		give(again)
		out := b.c.node.Ready()
		if len(out.Messages)+len(out.MessagesAfterSync) != 1 {
			t.Errorf("%d answers", len(out.Messages)+len(out.MessagesAfterSync))
		}
	})
}
