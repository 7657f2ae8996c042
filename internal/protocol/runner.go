package protocol

// States that a runner reports in its heartbeats.
const (
	RunnerReady    = "ready"
	RunnerDraining = "draining" // it will leave, and accepts no new runs
)

// Heartbeat is what a runner reports about itself.
type Heartbeat struct {
	Service       string    `json:"targetService"`
	Address       string    `json:"address"`
	Zone          string    `json:"zone"`
	ConfigVersion string    `json:"configVersion"` // of the runner's software
	Slots         int       `json:"slots"`
	State         string    `json:"state"`      // RunnerReady or RunnerDraining
	WarmupLeftMs  int64     `json:"coldLeftMs"` // remaining time of slow operation after its start
	FreeResources Resources `json:"freeRoom"`
	Labels        []string  `json:"labels"` // its kind and its rack
	ClockMs       int64     `json:"clockMs"`
	// LeavesInMs is the minimum time until the runner leaves, while it is draining.
	LeavesInMs *int64 `json:"leavesAtMs,omitempty"`
	// Sequence increases with each heartbeat, so that a late one is recognized.
	Sequence int64 `json:"callSeq"`
}

// maxWorkerGPUs is the bound of the GPUs of a worker, each of which is a row of the state.
const maxWorkerGPUs = 1 << 12

// Bounded returns the heartbeat with resources and times of MaxQuantity at most, and no more GPUs than a
// state can hold. No resource is below 0.
func (h Heartbeat) Bounded() Heartbeat {
	h.FreeResources.CPUUnits = between(0, h.FreeResources.CPUUnits, MaxQuantity)
	h.FreeResources.MemoryMB = between(0, h.FreeResources.MemoryMB, MaxQuantity)
	h.FreeResources.GPUs = between(0, h.FreeResources.GPUs, maxWorkerGPUs)
	h.WarmupLeftMs = between(0, h.WarmupLeftMs, MaxQuantity)
	if h.LeavesInMs != nil {
		leavesInMs := min(*h.LeavesInMs, MaxQuantity)
		h.LeavesInMs = &leavesInMs
	}
	return h
}

// between returns the value, or the bound that it exceeds.
func between[T int | int64](lowest, value, highest T) T { return min(max(value, lowest), highest) }

// StartRequest is the body of a call that starts a run.
type StartRequest struct {
	TaskID       string `json:"taskId"`
	RunID        int    `json:"runId"`
	Spec         string `json:"jobSpec"`
	LeaseUntilMs int64  `json:"untilMs"` // on the runner's clock, for all runs on the runner
	Fence        int64  `json:"fenceNumber"`
	Checkpoint   string `json:"lastCheckpoint,omitempty"`
}

// StopRequest is the body of a call that stops a run.
type StopRequest struct {
	TaskID string `json:"taskId"`
	RunID  int    `json:"runId"`
	Fence  int64  `json:"fenceNumber"`
}

// RunResponse is a runner's response to a StartRequest or a StopRequest.
type RunResponse struct {
	ClockMs int64  `json:"clockMs"`          // the runner's monotonic clock
	Reason  string `json:"reason,omitempty"` // of a rejection with status 409
}

// Reasons for a rejection by a runner.
const (
	ReasonStaleFence     = "fence" // the runner has seen a higher fence
	ReasonAlreadyStarted = "old"   // the run, or a later one of the same task, was already started there
	ReasonLeaseEnded     = "late"  // the lease had expired when the start arrived
	ReasonNoResources    = "room"  // not enough resources are free
)

// KeepAliveRequest extends the lease of all runs on a runner, acknowledges completions,
// and requests the lists of running and ended runs.
type KeepAliveRequest struct {
	LeaseUntilMs         int64 `json:"untilMs,omitempty"` // on the runner's clock; 0: not extended
	Fence                int64 `json:"fenceNumber"`
	AcknowledgedSequence int64 `json:"lastSeen"`         // the runner may discard completions up to this one
	WaitMs               int64 `json:"waitMs,omitempty"` // how long the runner may wait for a completion
}

// KeepAliveResponse is a runner's response to a KeepAliveRequest: its clock and the
// lists of running and ended runs, which Progress and Completions decode.
type KeepAliveResponse struct {
	ClockMs int64   `json:"clockMs"`
	Running [][]any `json:"runningCount"`
	Ended   [][]any `json:"ended"`
}
