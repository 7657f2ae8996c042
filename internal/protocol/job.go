package protocol

// Job is a job as a client submits it.
type Job struct {
	_                 struct{} `cbor:",toarray"`
	Spec              string   `json:"jobSpec"` // passed to the runner unchanged
	Steps             []Step   `json:"steps"`
	PeriodicInstances int      `json:"runTimes,omitempty"`   // of a periodic job; 0: the steps run once, at once
	FirstRunMs        int64    `json:"firstRunMs,omitempty"` // when the first is due, in ms since 1970
	IntervalMs        int64    `json:"intervalMs,omitempty"` // between two that are due
}

// Step is one step of a job: a number of tasks with the same requirements.
type Step struct {
	_           struct{} `cbor:",toarray"`
	TaskCount   int      `json:"taskCount"`
	CPUUnits    int64    `json:"cpuUnits,omitempty"` // of one task, in thousandths of a core
	MemoryMB    int64    `json:"memMb,omitempty"`    // of one task
	GPUs        int      `json:"gpus,omitempty"`     // of one task
	EstimateMs  int64    `json:"estimateMs,omitempty"`
	DependsOn   []int    `json:"dependsOn,omitempty"`   // indexes of steps that must be done before
	Checkpoints bool     `json:"checkpoints,omitempty"` // its tasks keep their progress
	// Gang: the tasks only work together, and start and end together.
	Gang bool `json:"allTogether,omitempty"`
	// SameRack: a gang that spans racks takes longer.
	SameRack       bool   `json:"sameRack,omitempty"`
	RequiredLabels Labels `json:"neededLabels,omitempty"`
	// PreferredRack is the rack with the data; a task takes longer elsewhere.
	PreferredRack string `json:"nearTo,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0: no bound.
	MaxPerWorker int `json:"apartFrom,omitempty"`
	// Speculative: copies of a task may run side by side; the first end counts.
	Speculative bool `json:"twice,omitempty"`
	// LongRunning: the tasks run until the job is canceled, and are started again
	// whatever their result.
	LongRunning bool `json:"longRunning,omitempty"`
}

// Resources is what a runner offers or a task requires.
type Resources struct {
	_        struct{} `cbor:",toarray"`
	CPUUnits int64    `json:"cpuUnits"` // in thousandths of a core
	MemoryMB int64    `json:"memMb"`
	GPUs     int      `json:"gpus"`
}
