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

// TestStalledRunIsDistinguishedFromRestoringRun guards against a failure in which a resumed run was
// stopped as stalled on one worker after another while it restored its checkpoint (trouble-1, seed
// 12).
func TestStalledRunIsDistinguishedFromRestoringRun(t *testing.T) {
	const task = "j.0.0.0"
	for name, c := range map[string]struct {
		checkpoint string
		estimateMs int64
		percents   []int // percent at polls 300 ms apart
		stalled    bool
	}{
		"restoring, then progressing": {"x", 6000, []int{78, 78, 78, 78, 80, 84}, false},
		"restored, then stalled":      {"x", 6000, []int{78, 78, 78, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80}, true},
		"short and stalled":           {"", 300, []int{10, 60, 60, 60, 60}, true},
		"slow but progressing":        {"", 60000, []int{0, 0, 1, 1, 2, 2, 3, 3}, false},
		"stalled from the start":      {"", 300, []int{0, 0, 0, 0}, true},
	} {
		a := &Agent{log: log.NewNopLogger(), now: time.Unix(1000, 0), settings: settings.File{Bounds: settings.Bounds{RestoreMs: 600}}}
		session := &runnerSession{runs: map[string]*taskRun{}}
		run := &taskRun{
			assignment: rpc.Assignment{Worker: "w", Task: task, Run: 1,
				Checkpoint: c.checkpoint, EstimateMs: c.estimateMs},
			phase:            runRunning,
			startedAt:        a.now,
			percentChangedAt: a.now,
		}
		for _, p := range c.percents {
			a.now = a.now.Add(300 * time.Millisecond)
			a.trackProgress(session, run, protocol.RunProgress{Task: task, Run: 1, Percent: p})
		}
		if run.stopRequested != c.stalled {
			t.Errorf("%s: stalled %v, want %v", name, run.stopRequested, c.stalled)
		}
	}
}

// TestMedianRuntime: recent samples and runs in progress give the median of at least three; a
// resumed run does not count.
func TestMedianRuntime(t *testing.T) {
	now := time.Unix(1000, 0)
	run := func(percent int, took, changed time.Duration, checkpoint string) *taskRun {
		return &taskRun{phase: runRunning, percent: percent, startedAt: now.Add(-took), percentChangedAt: now.Add(changed - took),
			assignment: rpc.Assignment{EstimateMs: 1000, Checkpoint: checkpoint}}
	}
	recentSamples := func(percents ...int64) []runtimeSample {
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
		"too few":                     {recentSamples(100, 200), nil, 0},
		"samples":                     {recentSamples(300, 100, 200), nil, 200},
		"never below 1":               {recentSamples(0, 0, 0), nil, 1},
		"an old sample":               {append(recentSamples(100, 200), runtimeSample{300, now.Add(-timing.SpeedSampleDecay)}), nil, 0},
		"a run by its progress":       {recentSamples(100, 300), []*taskRun{run(50, time.Second, time.Second, "")}, 200},
		"a run that began":            {recentSamples(100, 300), []*taskRun{run(4, 2*time.Second, 0, "")}, 0},
		"a run that takes long":       {recentSamples(100, 300), []*taskRun{run(4, 2500*time.Millisecond, 0, "")}, 250},
		"a run that resumed":          {recentSamples(100, 300), []*taskRun{run(50, time.Second, time.Second, "x")}, 0},
		"a run that is being stopped": {recentSamples(100, 300), []*taskRun{{phase: runStopping, percent: 50, startedAt: now, assignment: rpc.Assignment{EstimateMs: 1000}}}, 0},
		"a run that has no estimate":  {recentSamples(100, 300), []*taskRun{{phase: runRunning, percent: 50, startedAt: now}}, 0},
		"a run without a start time":  {recentSamples(100, 300), []*taskRun{{phase: runRunning, percent: 50, assignment: rpc.Assignment{EstimateMs: 1000}}}, 0},
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
