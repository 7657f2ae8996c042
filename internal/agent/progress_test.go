package agent

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
)

// TestStuckRunIsDistinguishedFromRestoringOne: nbo-tealpond trouble-1 seed 12 stopped a
// resumed run on one worker after another while it read its saved text.
func TestStuckRunIsDistinguishedFromRestoringOne(t *testing.T) {
	const task = "j.0.0.0"
	for name, c := range map[string]struct {
		saved string
		est   int64
		seen  []int // percent at looks 300 ms apart
		stuck bool
	}{
		"restoring, then on":      {"x", 6000, []int{78, 78, 78, 78, 80, 84}, false},
		"restored, then still":    {"x", 6000, []int{78, 78, 78, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80}, true},
		"short and still":         {"", 300, []int{10, 60, 60, 60, 60}, true},
		"long, a point at a time": {"", 60000, []int{0, 0, 1, 1, 2, 2, 3, 3}, false},
		"still from the start":    {"", 300, []int{0, 0, 0, 0}, true},
	} {
		a := &Agent{log: log.NewNopLogger(), now: time.Unix(1000, 0), settings: settings.File{Bounds: settings.Bounds{RestoreMs: 600}}}
		session := &runnerSession{runs: map[string]*taskRun{}}
		run := &taskRun{assignment: rpc.Assignment{Worker: "w", Task: task, Run: 1, Checkpoint: c.saved, EstimateMs: c.est}, phase: runRunning, startedAt: a.now, percentChangedAt: a.now}
		for _, p := range c.seen {
			a.now = a.now.Add(300 * time.Millisecond)
			a.trackProgress(session, run, protocol.RunProgress{Task: task, Run: 1, Percent: p})
		}
		if run.stopRequested != c.stuck {
			t.Errorf("%s: stuck %v, want %v", name, run.stopRequested, c.stuck)
		}
	}
}
