package api

import (
	"fmt"

	"tealpond/internal/protocol"
)

// maxJobSpecBytes is the maximum length of jobSpec in the protocol.
const maxJobSpecBytes = 4000

// ValidationError names an invalid field of a job and what is wrong with it.
type ValidationError struct {
	Field   string // its path in the body, for example steps[0].taskCount
	Problem string
}

// Error returns the field and the problem.
func (e *ValidationError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Problem) }

// ValidateJob makes the checks of a job that need no replicated state. A returned error is a
// *ValidationError.
func ValidateJob(job *protocol.Job) error {
	switch {
	case len(job.Spec) > maxJobSpecBytes:
		return &ValidationError{"jobSpec", fmt.Sprintf("over %d bytes", maxJobSpecBytes)}
	case len(job.Steps) == 0:
		return &ValidationError{"steps", "missing"}
	case job.PeriodicInstances < 0 || job.IntervalMs < 0 || job.FirstRunMs < 0:
		return &ValidationError{"runTimes, firstRunMs, intervalMs", "below 0"}
	}
	for i := range job.Steps {
		if field, problem := stepProblem(&job.Steps[i], i); problem != "" {
			return &ValidationError{fmt.Sprintf("steps[%d].%s", i, field), problem}
		}
	}
	return nil
}

// stepProblem returns the first invalid field of a step and what is wrong with it. The problem is
// empty if the step is valid.
func stepProblem(step *protocol.Step, index int) (field, problem string) {
	switch {
	case step.TaskCount <= 0:
		return "taskCount", "not above 0"
	case step.CPUUnits < 0 || step.MemoryMB < 0 || step.GPUs < 0 || step.EstimateMs < 0 || step.MaxPerWorker < 0:
		return "cpuUnits, memMb, gpus, estimateMs, apartFrom", "below 0"
	}
	for _, dependency := range step.DependsOn {
		// Only an earlier step is allowed: a step that depends on itself or on a later one could
		// never start.
		if dependency < 0 || dependency >= index {
			return "dependsOn", fmt.Sprintf("%d is no earlier step", dependency)
		}
	}
	return "", ""
}
