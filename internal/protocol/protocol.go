// Package protocol holds the JSON bodies and heads that callers see.
package protocol

// Heads of tealpond's calls.
const (
	HeaderBasedOn      = "X-Tealpond-Based-On"
	HeaderTargetRunner = "X-Tealpond-Target-Runner"
	HeaderTimeLeft     = "X-Tealpond-Time-Left"
	HeaderNotRun       = "X-Tealpond-Not-Run"
	HeaderRetryAfter   = "Retry-After"
)

// Step is one step of a job.
type Step struct {
	_              struct{} `cbor:",toarray"`
	TaskCount      int      `json:"taskCount"`
	CPUUnits       int64    `json:"cpuUnits,omitempty"`
	MemoryMB       int64    `json:"memMb,omitempty"`
	GPUs           int      `json:"gpus,omitempty"`
	EstimateMs     int64    `json:"estimateMs,omitempty"`
	DependsOn      []int    `json:"dependsOn,omitempty"`
	Checkpoints    bool     `json:"checkpoints,omitempty"`
	Gang           bool     `json:"allTogether,omitempty"`
	SameRack       bool     `json:"sameRack,omitempty"`
	RequiredLabels Labels   `json:"neededLabels,omitempty"`
	PreferredRack  string   `json:"nearTo,omitempty"`
	MaxPerWorker   int      `json:"apartFrom,omitempty"`
	Speculative    bool     `json:"twice,omitempty"`
	LongRunning    bool     `json:"longRunning,omitempty"`
}

// Job is what a client hands in.
type Job struct {
	_                 struct{} `cbor:",toarray"`
	Spec              string   `json:"jobSpec"`
	Steps             []Step   `json:"steps"`
	PeriodicInstances int      `json:"runTimes,omitempty"`
	FirstRunMs        int64    `json:"firstRunMs,omitempty"`
	IntervalMs        int64    `json:"intervalMs,omitempty"`
}

// Resources is what a runner offers or a task asks for.
type Resources struct {
	_        struct{} `cbor:",toarray"`
	CPUUnits int64    `json:"cpuUnits"`
	MemoryMB int64    `json:"memMb"`
	GPUs     int      `json:"gpus"`
}

// Heartbeat is a runner's account of itself.
type Heartbeat struct {
	Service       string    `json:"targetService"`
	Address       string    `json:"address"`
	Zone          string    `json:"zone"`
	ConfigVersion string    `json:"configVersion"`
	Slots         int       `json:"slots"`
	State         string    `json:"state"`
	WarmupLeftMs  int64     `json:"coldLeftMs"`
	FreeResources Resources `json:"freeRoom"`
	Labels        []string  `json:"labels"`
	ClockMs       int64     `json:"clockMs"`
	LeavesInMs    *int64    `json:"leavesAtMs,omitempty"`
	Sequence      int64     `json:"callSeq"`
}

// StartRequest tells a runner to start a run.
type StartRequest struct {
	TaskID       string `json:"taskId"`
	RunID        int    `json:"runId"`
	Spec         string `json:"jobSpec"`
	LeaseUntilMs int64  `json:"untilMs"`
	Fence        int64  `json:"fenceNumber"`
	Checkpoint   string `json:"lastCheckpoint,omitempty"`
}

// StopRequest tells a runner to stop a run.
type StopRequest struct {
	TaskID string `json:"taskId"`
	RunID  int    `json:"runId"`
	Fence  int64  `json:"fenceNumber"`
}

// KeepAliveRequest prolongs what runs and asks for the lists.
type KeepAliveRequest struct {
	LeaseUntilMs         int64 `json:"untilMs,omitempty"`
	Fence                int64 `json:"fenceNumber"`
	AcknowledgedSequence int64 `json:"lastSeen"`
	WaitMs               int64 `json:"waitMs,omitempty"`
}

// RunResponse is the answer to a start or a stop.
type RunResponse struct {
	ClockMs int64  `json:"clockMs"`
	Reason  string `json:"reason,omitempty"`
}

// KeepAliveResponse is the answer to a hold.
type KeepAliveResponse struct {
	ClockMs int64   `json:"clockMs"`
	Running [][]any `json:"runningCount"`
	Ended   [][]any `json:"ended"`
}
