package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
)

// testDrain is how long a runner of these tests serves on after its sign-off.
const testDrain = 2500

// newLeaving is a fixture with the runner w, whose newest heartbeat was call 7.
func newLeaving(t *testing.T) (*fixture, *scriptedRunner) {
	t.Helper()
	b, runner := newFixtureWithRunner(t, 1)
	b.agent.settings.NodeName = "n"
	b.agent.settings.Bounds.DrainMs = testDrain
	b.session.heartbeatSequence = 7
	return b, runner
}

// beat brings a heartbeat and gives the code of its answer, or 0.
func (f *fixture) beat(id, state string, seq int64) int {
	f.t.Helper()
	in := &heartbeatRequest{id: id, status: make(chan int, 1), heartbeat: protocol.Heartbeat{Service: "s", State: state,
		FreeResources: protocol.Resources{CPUUnits: 1000, MemoryMB: 1000}, Sequence: seq}}
	f.agent.handle(event{heartbeat: in})
	f.settle()
	return answered(in.status)
}

// signOff brings a sign-off and gives the code of its answer, or 0.
func (f *fixture) signOff(id string) int {
	f.t.Helper()
	in := &signOffRequest{id: id, status: make(chan int, 1)}
	f.agent.handle(event{signOff: in})
	f.settle()
	return answered(in.status)
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
func (f *fixture) leaving(id string, in int64) {
	f.t.Helper()
	w := f.state.Workers[id]
	if w == nil || !w.Draining || w.Schedulable() {
		f.t.Fatalf("%s is not leaving: %+v", id, w)
	}
	if left := w.LeavesAt - time.Now().UnixMilli(); left != in {
		f.t.Errorf("%s leaves in %d ms, want %d", id, left, in)
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
				b.agent.registerRunner(b.session)
				b.settle()
				b.leaving("w", testDrain-1000)
				runner.respond(pathStart, RunnerResponse{StatusCode: 200})
				b.assign(0)
				b.advance(500 * time.Millisecond)
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
		b.agent.session = nil
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
		b.execute("eligible", &state.SetEligibility{ID: "w", Draining: true, LeavesInMs: -1})
		b.agent.session = nil
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
		lead := b.agent.callLeader
		b.agent.callLeader = noLeader
		if code := b.signOff("w"); code != 503 {
			t.Errorf("the sign-off gets %d", code)
		}
		if code := b.beat("w", "draining", 8); code != 503 {
			t.Errorf("the heartbeat gets %d", code)
		}
		b.agent.callLeader = lead
		if code := b.beat("w", "draining", 9); code != 200 || !b.state.Workers["w"].Draining {
			t.Errorf("the next one gets %d, draining %v", code, b.state.Workers["w"].Draining)
		}
	})
}

// noLeader answers as where no leader is known.
func noLeader(context.Context, string, any) rpc.Response {
	return rpc.Response{Code: rpc.CodeNoLeader}
}
