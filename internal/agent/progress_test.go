package agent

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/timing"
)

// TestStuckRunIsDistinguishedFromRestoringOne: nbo-tealpond trouble-1 seed 12 stopped a
// resumed run on one worker after another while it read its saved text.
func TestStuckRunIsDistinguishedFromRestoringOne(t *testing.T) {
	const task = "j.0.0.0"
	for name, c := range map[string]struct {
		saved string
		est   int64
		seen  []int // percent at polls 300 ms apart
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
		run := &taskRun{
			assignment:       rpc.Assignment{Worker: "w", Task: task, Run: 1, Checkpoint: c.saved, EstimateMs: c.est},
			phase:            runRunning,
			startedAt:        a.now,
			percentChangedAt: a.now,
		}
		for _, p := range c.seen {
			a.now = a.now.Add(300 * time.Millisecond)
			a.trackProgress(session, run, protocol.RunProgress{Task: task, Run: 1, Percent: p})
		}
		if run.stopRequested != c.stuck {
			t.Errorf("%s: stuck %v, want %v", name, run.stopRequested, c.stuck)
		}
	}
}

// TestMedianRuntime: what was sampled lately and what still runs give the median
// of at least three; a run that resumed says nothing.
func TestMedianRuntime(t *testing.T) {
	now := time.Unix(1000, 0)
	run := func(percent int, took, changed time.Duration, checkpoint string) *taskRun {
		return &taskRun{phase: runRunning, percent: percent, startedAt: now.Add(-took), percentChangedAt: now.Add(changed - took),
			assignment: rpc.Assignment{EstimateMs: 1000, Checkpoint: checkpoint}}
	}
	fresh := func(percents ...int64) []runtimeSample {
		var samples []runtimeSample
		for _, percent := range percents {
			samples = append(samples, runtimeSample{percent, now.Add(time.Millisecond - timing.SpeedSampleDecay)})
		}
		return samples
	}
	for name, test := range map[string]struct {
		samples []runtimeSample
		runs    []*taskRun
		want    int64
	}{
		"too few":                     {fresh(100, 200), nil, 0},
		"samples":                     {fresh(300, 100, 200), nil, 200},
		"never below 1":               {fresh(0, 0, 0), nil, 1},
		"an old sample":               {append(fresh(100, 200), runtimeSample{300, now.Add(-timing.SpeedSampleDecay)}), nil, 0},
		"a run by its progress":       {fresh(100, 300), []*taskRun{run(50, time.Second, time.Second, "")}, 200},
		"a run that began":            {fresh(100, 300), []*taskRun{run(4, 2*time.Second, 0, "")}, 0},
		"a run that takes long":       {fresh(100, 300), []*taskRun{run(4, 2500*time.Millisecond, 0, "")}, 250},
		"a run that resumed":          {fresh(100, 300), []*taskRun{run(50, time.Second, time.Second, "x")}, 0},
		"a run that is being stopped": {fresh(100, 300), []*taskRun{{phase: runStopping, percent: 50, startedAt: now, assignment: rpc.Assignment{EstimateMs: 1000}}}, 0},
		"a run that has no estimate":  {fresh(100, 300), []*taskRun{{phase: runRunning, percent: 50, startedAt: now}}, 0},
		"a run that was not seen yet": {fresh(100, 300), []*taskRun{{phase: runRunning, percent: 50, assignment: rpc.Assignment{EstimateMs: 1000}}}, 0},
		"runs of different progresses": {nil, []*taskRun{
			run(50, time.Second, time.Second, ""),
			run(10, time.Second, 100*time.Millisecond, ""),
			run(100, time.Second, time.Second, ""),
		}, 100},
	} {
		session := &runnerSession{runtimeSamples: test.samples, runs: map[string]*taskRun{}}
		for i, run := range test.runs {
			session.runs[runKey("j.0.0.0", i)] = run
		}
		if got := session.medianRuntimePercent(now); got != test.want {
			t.Errorf("%s: %d, want %d", name, got, test.want)
		}
	}
}
