package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
)

// TestLateBeatDoesNotOverturnANewerOne: a heartbeat with a lower callSeq came
// seconds later; it is acknowledged, and what the newer one said holds.
func TestLateBeatDoesNotOverturnANewerOne(t *testing.T) {
	for newer, late := range map[string]string{"draining": "ready", "ready": "draining"} {
		t.Run(newer, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, _ := newLeaving(t)
				b.beat("w", newer, 9)
				time.Sleep(3 * time.Second)
				if code := b.beat("w", late, 8); code != 200 {
					t.Errorf("the late heartbeat gets %d", code)
				}
				if w := b.state.Workers["w"]; w.Draining != (newer == "draining") || b.session.heartbeat.State != newer || b.session.heartbeatSequence != 9 {
					t.Errorf("the row says draining %v; the daemon holds call %d, %s", w.Draining, b.session.heartbeatSequence, b.session.heartbeat.State)
				}
			})
		})
	}
}

// TestLateBeatOfAnEarlierLifeIsPassedOver: the present life, which was taken up
// after it, keeps its session: its grant, its runs and the ends it read.
func TestLateBeatOfAnEarlierLifeIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, runner := newLeaving(t)
		runner.respond(pathKeepAlive, RunnerResponse{StatusCode: 409, Run: protocol.RunResponse{Reason: "fence"}})
		b.beat("w2", "ready", 1)
		now := b.agent.session
		if now.id != "w2" || now.fence == 0 || !b.state.Workers["w"].Dead {
			t.Fatalf("the next life was not taken up: %+v", now)
		}
		time.Sleep(3 * time.Second)
		if code := b.beat("w", "ready", 6); code != 200 {
			t.Errorf("the late heartbeat gets %d", code)
		}
		if b.agent.session != now || now.superseded {
			t.Errorf("the present life's session was given up for one of %s", b.agent.session.id)
		}
	})
}
