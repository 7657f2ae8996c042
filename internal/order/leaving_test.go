package order

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/store"
	"tealpond/internal/wire"
)

// testDrain is how long a runner of these tests serves on after its sign-off.
const testDrain = 2500

// newLeaving is a fixture with the runner w, whose newest heartbeat was call 7.
func newLeaving(t *testing.T) (*fixture, *scripted) {
	t.Helper()
	b, runner := newTurned(t, 1)
	b.s.set.NodeName = "n"
	b.s.set.Bounds.DrainMs = testDrain
	b.session.seq = 7
	return b, runner
}

// beat brings a heartbeat and gives the code of its answer, or 0.
func (b *fixture) beat(id, state string, seq int64) int {
	b.t.Helper()
	in := &beatIn{id: id, done: make(chan int, 1), beat: wire.Beat{TargetService: "s", State: state,
		FreeRoom: wire.Room{CPUUnits: 1000, MemMb: 1000}, CallSeq: seq}}
	b.s.take(Event{beat: in})
	b.settle()
	return answered(in.done)
}

// signOff brings a sign-off and gives the code of its answer, or 0.
func (b *fixture) signOff(id string) int {
	b.t.Helper()
	in := &offIn{id: id, done: make(chan int, 1)}
	b.s.take(Event{off: in})
	b.settle()
	return answered(in.done)
}

func answered(done chan int) int {
	select {
	case code := <-done:
		return code
	default:
		return 0
	}
}

// leaving demands that a worker's row says that it leaves in so many ms.
func (b *fixture) leaving(id string, in int64) {
	b.t.Helper()
	w := b.st.Workers[id]
	if w == nil || !w.Draining || w.Bookable() {
		b.t.Fatalf("%s is not leaving: %+v", id, w)
	}
	if left := w.LeavesAt - time.Now().UnixMilli(); left != in {
		b.t.Errorf("%s leaves in %d ms, want %d", id, left, in)
	}
}

// TestSignOffWithoutDrainingLeavesTheDrainTime: a runner that never said that it
// drains serves on after its sign-off; one that drained has done so before.
func TestSignOffWithoutDrainingLeavesTheDrainTime(t *testing.T) {
	for state, want := range map[string]int64{"ready": testDrain, "draining": 0} {
		t.Run(state, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, _ := newLeaving(t)
				if code := b.beat("w", state, 8); code != 200 {
					t.Fatalf("the heartbeat gets %d", code)
				}
				if code := b.signOff("w"); code != 200 {
					t.Fatalf("the sign-off gets %d", code)
				}
				b.leaving("w", want)
			})
		})
	}
}

// TestSignOffSentAgainPutsNoLeavingOff: its acknowledgement was lost.
func TestSignOffSentAgainPutsNoLeavingOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newLeaving(t)
		b.signOff("w")
		time.Sleep(time.Second)
		if code := b.signOff("w"); code != 200 {
			t.Errorf("the second gets %d", code)
		}
		b.leaving("w", testDrain-1000)
	})
}

// TestReadyBeatAfterSignOffBringsNothingBack: neither a late heartbeat nor a
// newer one of the same life, not even if the runner is taken up anew on it.
func TestReadyBeatAfterSignOffBringsNothingBack(t *testing.T) {
	for name, seq := range map[string]int64{"sent before": 6, "sent after": 9} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, runner := newLeaving(t)
				b.signOff("w")
				time.Sleep(time.Second)
				if code := b.beat("w", "ready", seq); code != 200 {
					t.Errorf("the heartbeat gets %d", code)
				}
				b.leaving("w", testDrain-1000)
				b.s.takeUp(b.session)
				b.settle()
				b.leaving("w", testDrain-1000)
				runner.set(pathStart, Reply{Code: 200})
				b.order(0)
				b.turn(500 * time.Millisecond)
				if n := runner.count(pathStart); n != 0 {
					t.Errorf("%d starts on a runner that signed off", n)
				}
			})
		})
	}
}

// TestSignOffAtASideDaemonThatStartedAnew: it has heard no heartbeat yet, and
// the next one says `ready`.
func TestSignOffAtASideDaemonThatStartedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newLeaving(t)
		b.s.cur = nil
		if code := b.signOff("w"); code != 200 {
			t.Errorf("the sign-off gets %d", code)
		}
		b.leaving("w", testDrain)
		if code := b.beat("w", "ready", 9); code != 200 {
			t.Errorf("the heartbeat gets %d", code)
		}
		b.leaving("w", testDrain)
	})
}

// TestSignOffBeforeItsTakeUpIsKept: the life was never taken up when it signs
// off; the heartbeat that has it taken up says `ready`.
func TestSignOffBeforeItsTakeUpIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newLeaving(t)
		b.run("eligible", &store.Eligible{ID: "w", Draining: true, LeavesIn: -1})
		b.s.cur = nil
		b.signOff("w2")
		b.beat("w2", "ready", 1)
		b.leaving("w2", testDrain)
	})
}

// TestSignOffThatWasNotCommittedIsNotAcknowledged: and a heartbeat that says
// `draining` after it isn't either before the state holds it.
func TestSignOffThatWasNotCommittedIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newLeaving(t)
		lead := b.s.lead
		b.s.lead = noLeader
		if code := b.signOff("w"); code != 503 {
			t.Errorf("the sign-off gets %d", code)
		}
		if code := b.beat("w", "draining", 8); code != 503 {
			t.Errorf("the heartbeat gets %d", code)
		}
		b.s.lead = lead
		if code := b.beat("w", "draining", 9); code != 200 || !b.st.Workers["w"].Draining {
			t.Errorf("the next one gets %d, draining %v", code, b.st.Workers["w"].Draining)
		}
	})
}

// noLeader answers as where no leader is known.
func noLeader(context.Context, string, any) member.Answer {
	return member.Answer{Code: member.NoLeader}
}
