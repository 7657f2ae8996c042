package standin

// WorkerEventKind is the kind of a WorkerEvent.
type WorkerEventKind string

// Kinds of events. An agent requests a start, after which the run starts unless it is rejected. When
// the run ends, its end is listed to the agent, which acknowledges it.
const (
	WorkerStartRequested         WorkerEventKind = "start requested"
	WorkerRunStarted             WorkerEventKind = "run started"
	WorkerRunEnded               WorkerEventKind = "run ended"
	WorkerCompletionListed       WorkerEventKind = "end listed"
	WorkerCompletionAcknowledged WorkerEventKind = "end acknowledged"
	WorkerLeaseExpired           WorkerEventKind = "lease expired"
	WorkerCrashed                WorkerEventKind = "runner crashed"
)

// Results of a run as runners list them, and RunCrashed for runs that are lost in a crash.
const (
	RunDone         = "done"
	RunFailed       = "failed"
	RunStopped      = "stopped"
	RunLeaseExpired = "lapsed"
	RunCrashed      = "crashed"
)

// WorkerEvent is an event at a worker's runner. Its kind determines which fields are set.
type WorkerEvent struct {
	Kind             WorkerEventKind
	Node             string
	Incarnation      string // of the runner
	Task             string
	Run              int
	Outcome          string
	Completion       int64 // sequence number of the run's completion
	JobSpec          string
	CPUInUse         int64 // in thousandths of a core, including the run that starts
	CPUCapacity      int64
	EnforcesCapacity bool
}
