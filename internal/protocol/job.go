package protocol

// Job is a job as a client submits it.
type Job struct {
	_                 struct{} `cbor:",toarray"`
	Spec              string   `json:"jobSpec"` // passed on to the runner as it is
	Steps             []Step   `json:"steps"`
	PeriodicInstances int      `json:"runTimes,omitempty"`   // how many times the steps run; 0: once, at once
	FirstRunMs        int64    `json:"firstRunMs,omitempty"` // when the first is due, in ms since 1970
	IntervalMs        int64    `json:"intervalMs,omitempty"` // between two that are due
}

// Step is one step of a job: a number of tasks that are alike.
type Step struct {
	_           struct{} `cbor:",toarray"`
	TaskCount   int      `json:"taskCount"`
	CPUUnits    int64    `json:"cpuUnits,omitempty"` // of one task, in thousandths of a core
	MemoryMB    int64    `json:"memMb,omitempty"`    // of one task
	GPUs        int      `json:"gpus,omitempty"`     // of one task
	EstimateMs  int64    `json:"estimateMs,omitempty"`
	DependsOn   []int    `json:"dependsOn,omitempty"`   // indexes of steps that must be done before
	Checkpoints bool     `json:"checkpoints,omitempty"` // its tasks keep their progress
	// Gang: the tasks work only jointly, and start and end together.
	Gang bool `json:"allTogether,omitempty"`
	// SameRack: a gang that spans racks takes longer.
	SameRack       bool   `json:"sameRack,omitempty"`
	RequiredLabels Labels `json:"neededLabels,omitempty"`
	// PreferredRack holds the data; anywhere else a task takes longer.
	PreferredRack string `json:"nearTo,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0: no bound.
	MaxPerWorker int `json:"apartFrom,omitempty"`
	// Speculative: copies of a task may run side by side; the first end counts.
	Speculative bool `json:"twice,omitempty"`
	// LongRunning: the tasks run until the job is cancelled, and are started
	// again however they end.
	LongRunning bool `json:"longRunning,omitempty"`
}

// Resources is what a runner offers or a task asks for.
type Resources struct {
	_        struct{} `cbor:",toarray"`
	CPUUnits int64    `json:"cpuUnits"` // in thousandths of a core
	MemoryMB int64    `json:"memMb"`
	GPUs     int      `json:"gpus"`
}
