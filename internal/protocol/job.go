package protocol

import "slices"

// Job is a job as a client submits it.
type Job struct {
	_                 struct{} `cbor:",toarray"`
	Spec              string   `json:"jobSpec"` // passed to the runner unchanged
	Steps             []Step   `json:"steps"`
	PeriodicInstances int      `json:"runTimes,omitempty"`   // of a periodic job; 0: the steps run once, immediately
	FirstRunMs        int64    `json:"firstRunMs,omitempty"` // when the first instance is due, in ms since 1970
	IntervalMs        int64    `json:"intervalMs,omitempty"` // between the due times of instances
}

// Step is one step of a job: a number of tasks with the same requirements.
type Step struct {
	_           struct{} `cbor:",toarray"`
	TaskCount   int      `json:"taskCount"`
	CPUUnits    int64    `json:"cpuUnits,omitempty"` // of one task, in thousandths of a core
	MemoryMB    int64    `json:"memMb,omitempty"`    // of one task
	GPUs        int      `json:"gpus,omitempty"`     // of one task
	EstimateMs  int64    `json:"estimateMs,omitempty"`
	DependsOn   []int    `json:"dependsOn,omitempty"`   // indexes of steps that must be done first
	Checkpoints bool     `json:"checkpoints,omitempty"` // its tasks write checkpoints of their progress
	// Gang: the tasks can only run together, and start and end together.
	Gang bool `json:"allTogether,omitempty"`
	// SameRack: a gang that spans racks takes longer.
	SameRack       bool   `json:"sameRack,omitempty"`
	RequiredLabels Labels `json:"neededLabels,omitempty"`
	// PreferredRack is the rack that has the data; a task takes longer on another rack.
	PreferredRack string `json:"nearTo,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0: no limit.
	MaxPerWorker int `json:"apartFrom,omitempty"`
	// Speculative: copies of a task may run concurrently; the first one to end counts.
	Speculative bool `json:"twice,omitempty"`
	// LongRunning: the tasks run until the job is canceled, and are restarted
	// regardless of their result.
	LongRunning bool `json:"longRunning,omitempty"`
}

// Resources are the resources that a runner offers or a task requires.
type Resources struct {
	_        struct{} `cbor:",toarray"`
	CPUUnits int64    `json:"cpuUnits"` // in thousandths of a core
	MemoryMB int64    `json:"memMb"`
	GPUs     int      `json:"gpus"`
}

// MaxQuantity is the bound of each quantity of a step: thousandths of a core, megabytes, devices or
// ms. No worker has as much, and none works as long, so that a larger one means the same. Sums and
// products with the number of tasks that a server can hold stay far below 2^63.
const MaxQuantity = 1 << 40

// BoundedSteps returns steps whose quantities are MaxQuantity at most. It returns the argument if none
// is larger, and never changes it.
func BoundedSteps(steps []Step) []Step {
	bounded := steps
	for i := range steps {
		step := steps[i].bounded()
		if step.CPUUnits == steps[i].CPUUnits && step.MemoryMB == steps[i].MemoryMB && step.GPUs == steps[i].GPUs &&
			step.EstimateMs == steps[i].EstimateMs {
			continue
		}
		if &bounded[0] == &steps[0] {
			bounded = slices.Clone(steps)
		}
		bounded[i] = step
	}
	return bounded
}

// bounded returns the step with quantities of MaxQuantity at most.
func (s Step) bounded() Step {
	s.CPUUnits = min(s.CPUUnits, MaxQuantity)
	s.MemoryMB = min(s.MemoryMB, MaxQuantity)
	s.GPUs = min(s.GPUs, MaxQuantity)
	s.EstimateMs = min(s.EstimateMs, MaxQuantity)
	return s
}
