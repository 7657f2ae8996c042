package agent

import (
	"slices"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/timing"
)

// stalledRunTimeout is the minimum time without progress after which a run is stopped.
const stalledRunTimeout = 450 * time.Millisecond

// runtimeSample is the runtime of one run.
type runtimeSample struct {
	percentOfEstimate int64
	takenAt           time.Time
}

// minRuntimeSamples is the minimum number of samples for a median.
const minRuntimeSamples = 3

// maxPercentDelay is the multiple of the average time per percent that the next one may take before
// the run counts as stalled.
const maxPercentDelay = 8

// minProgressPercent is the minimum progress from which a runtime is extrapolated.
const minProgressPercent = 5

// overdue reports whether a run has taken more than one and a half times its estimate.
func (r *taskRun) overdue(now time.Time) bool {
	if r.phase != runRunning || r.assignment.LongRunning {
		return false
	}
	const graceMs = 100
	return now.Sub(r.startedAt).Milliseconds() > 3*r.assignment.EstimateMs/2+graceMs
}

// trackProgress records a run's progress, and requests a stop if the run is stalled.
func (a *Agent) trackProgress(session *runnerSession, run *taskRun, progress protocol.RunProgress) {
	unchangedFor := run.recordProgress(progress.Percent, a.now)
	if unchangedFor == 0 || !run.stalled(unchangedFor, time.Duration(a.settings.Bounds.RestoreMs)*time.Millisecond) {
		return
	}
	_ = a.log.Log("level", "warn", "event", "run.stalled", "task", progress.Task, "run", progress.Run,
		"percent", progress.Percent, "unchanged_ms", unchangedFor.Milliseconds())
	run.stopRequested = true
	session.lastStalledAt = a.now
}

// recordProgress records a run's progress and returns how long it has not changed.
func (r *taskRun) recordProgress(percent int, now time.Time) time.Duration {
	if r.startedAt.IsZero() {
		r.startedAt, r.percentChangedAt = now, now
	}
	if !r.progressSeen {
		// The first percentage is kept, since a resumed run does not start at zero.
		r.progressSeen, r.percent, r.firstPercent = true, percent, percent
		r.percentChangedAt = now
		return 0
	}
	if percent != r.percent {
		r.percent, r.percentChangedAt = percent, now
		return 0
	}
	return now.Sub(r.percentChangedAt)
}

// stalled reports whether a run whose progress has not changed for unchangedFor is to be stopped.
// The limit depends on the run's own speed, since a long task on a slow runner rarely gains a
// percent. A run that resumes from a checkpoint makes no progress while it restores it, which takes
// about restoreTime.
func (r *taskRun) stalled(unchangedFor, restoreTime time.Duration) bool {
	if r.assignment.LongRunning || r.stopRequested || r.assignment.Worker == "" {
		return false
	}
	timePerPercent := r.percentChangedAt.Sub(r.startedAt) / time.Duration(max(r.percent-r.firstPercent, 1))
	if r.percent == r.firstPercent {
		timePerPercent = time.Duration(r.assignment.EstimateMs) * time.Millisecond / 100
	}
	timeout := stalledRunTimeout
	if r.assignment.Checkpoint != "" {
		timeout += 2 * restoreTime
	}
	return unchangedFor >= timeout && unchangedFor >= maxPercentDelay*timePerPercent
}

// sampleRuntime records the runtime of a run that is done. A run that resumed from a checkpoint is
// excluded, since the estimate is for a whole run.
func (s *runnerSession) sampleRuntime(run *taskRun, now time.Time) {
	if run.startedAt.IsZero() || run.assignment.EstimateMs <= 0 || run.assignment.Checkpoint != "" {
		return
	}
	s.runtimeSamples = append(s.runtimeSamples, runtimeSample{now.Sub(run.startedAt).Milliseconds() * 100 / run.assignment.EstimateMs, now})
}

// medianRuntimePercent returns the median runtime of recent runs, in percent of their estimates; 0:
// not known. Runs in progress count too, since few end on a slow runner.
func (s *runnerSession) medianRuntimePercent(now time.Time) int64 {
	s.runtimeSamples = slices.DeleteFunc(s.runtimeSamples, func(sample runtimeSample) bool {
		return now.Sub(sample.takenAt) >= timing.SpeedSampleDecay
	})
	var percents []int64
	for _, sample := range s.runtimeSamples {
		percents = append(percents, sample.percentOfEstimate)
	}
	for _, run := range s.runs {
		if percent, ok := run.expectedRuntimePercent(now); ok {
			percents = append(percents, percent)
		}
	}
	if len(percents) < minRuntimeSamples {
		return 0
	}
	slices.Sort(percents)
	return max(percents[len(percents)/2], 1)
}

// expectedRuntimePercent extrapolates the runtime of a run from its progress, in percent of its
// estimate; false if that is not known yet.
func (r *taskRun) expectedRuntimePercent(now time.Time) (int64, bool) {
	estimateMs := r.assignment.EstimateMs
	if r.phase != runRunning || r.startedAt.IsZero() || estimateMs <= 0 || r.assignment.Checkpoint != "" {
		return 0, false
	}
	if r.percent >= minProgressPercent {
		return r.percentChangedAt.Sub(r.startedAt).Milliseconds() * 100 / int64(r.percent) * 100 / estimateMs, true
	}
	elapsedMs := now.Sub(r.startedAt).Milliseconds()
	return elapsedMs * 100 / estimateMs, elapsedMs > 2*estimateMs
}
