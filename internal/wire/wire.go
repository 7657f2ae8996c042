// Package wire holds the JSON bodies and heads that callers see.
package wire

// Heads of tealpond's calls.
const (
	HeadBasedOn = "X-Tealpond-Based-On"
	HeadTarget  = "X-Tealpond-Target-Runner"
	HeadLeft    = "X-Tealpond-Time-Left"
	HeadNotRun  = "X-Tealpond-Not-Run"
	HeadRetry   = "Retry-After"
)

// Step is one step of a job.
type Step struct {
	_            struct{} `cbor:",toarray"`
	TaskCount    int      `json:"taskCount"`
	CPUUnits     int64    `json:"cpuUnits,omitempty"`
	MemMb        int64    `json:"memMb,omitempty"`
	GPUs         int      `json:"gpus,omitempty"`
	EstimateMs   int64    `json:"estimateMs,omitempty"`
	DependsOn    []int    `json:"dependsOn,omitempty"`
	Checkpoints  bool     `json:"checkpoints,omitempty"`
	AllTogether  bool     `json:"allTogether,omitempty"`
	SameRack     bool     `json:"sameRack,omitempty"`
	NeededLabels Labels   `json:"neededLabels,omitempty"`
	NearTo       string   `json:"nearTo,omitempty"`
	ApartFrom    int      `json:"apartFrom,omitempty"`
	Twice        bool     `json:"twice,omitempty"`
	LongRunning  bool     `json:"longRunning,omitempty"`
}

// Job is what a client hands in.
type Job struct {
	_          struct{} `cbor:",toarray"`
	JobSpec    string   `json:"jobSpec"`
	Steps      []Step   `json:"steps"`
	RunTimes   int      `json:"runTimes,omitempty"`
	FirstRunMs int64    `json:"firstRunMs,omitempty"`
	IntervalMs int64    `json:"intervalMs,omitempty"`
}

// Room is what a runner offers or a task asks for.
type Room struct {
	_        struct{} `cbor:",toarray"`
	CPUUnits int64    `json:"cpuUnits"`
	MemMb    int64    `json:"memMb"`
	GPUs     int      `json:"gpus"`
}

// Beat is a runner's account of itself.
type Beat struct {
	TargetService string   `json:"targetService"`
	Address       string   `json:"address"`
	Zone          string   `json:"zone"`
	ConfigVersion string   `json:"configVersion"`
	Slots         int      `json:"slots"`
	State         string   `json:"state"`
	ColdLeftMs    int64    `json:"coldLeftMs"`
	FreeRoom      Room     `json:"freeRoom"`
	Labels        []string `json:"labels"`
	ClockMs       int64    `json:"clockMs"`
	LeavesAtMs    *int64   `json:"leavesAtMs,omitempty"`
	CallSeq       int64    `json:"callSeq"`
}

// Start tells a runner to start a run.
type Start struct {
	TaskID         string `json:"taskId"`
	RunID          int    `json:"runId"`
	JobSpec        string `json:"jobSpec"`
	UntilMs        int64  `json:"untilMs"`
	FenceNumber    int64  `json:"fenceNumber"`
	LastCheckpoint string `json:"lastCheckpoint,omitempty"`
}

// Stop tells a runner to stop a run.
type Stop struct {
	TaskID      string `json:"taskId"`
	RunID       int    `json:"runId"`
	FenceNumber int64  `json:"fenceNumber"`
}

// Hold prolongs what runs and asks for the lists.
type Hold struct {
	UntilMs     int64 `json:"untilMs,omitempty"`
	FenceNumber int64 `json:"fenceNumber"`
	LastSeen    int64 `json:"lastSeen"`
	WaitMs      int64 `json:"waitMs,omitempty"`
}

// Clock is the answer to a start or a stop.
type Clock struct {
	ClockMs int64  `json:"clockMs"`
	Reason  string `json:"reason,omitempty"`
}

// Lists is the answer to a hold.
type Lists struct {
	ClockMs int64   `json:"clockMs"`
	Running [][]any `json:"runningCount"`
	Ended   [][]any `json:"ended"`
}
