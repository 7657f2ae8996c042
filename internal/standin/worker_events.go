package standin

// WorkerEventKind tells what a worker's runner saw.
type WorkerEventKind string

// What runners see. An agent requests a start and the run starts, or not; it ends; its end
// is listed to the agent, which acknowledges it.
const (
	WorkerStartRequested WorkerEventKind = "start requested"
	WorkerRunStarted     WorkerEventKind = "run started"
	WorkerRunEnded       WorkerEventKind = "run ended"
	WorkerEndListed      WorkerEventKind = "end listed"
	WorkerAcknowledged   WorkerEventKind = "end acknowledged"
	WorkerLeaseExpired   WorkerEventKind = "lease expired"
	WorkerCrashed        WorkerEventKind = "runner crashed"
)

// Results of a run, as runners list them, and one for runs lost in a crash.
const (
	RunDone    = "done"
	RunFailed  = "failed"
	RunStopped = "stopped"
	RunLapsed  = "lapsed"
	RunCrashed = "crashed"
)

// WorkerEvent is one thing that a worker's runner saw. Which fields are set depends on its
// kind.
type WorkerEvent struct {
	Kind             WorkerEventKind
	Node             string
	Incarnation      string // of the runner
	Task             string
	Run              int
	Outcome          string
	Completion       int64 // the sequence number of a run's end
	JobSpec          string
	CPUInUse         int64 // thousandths of a core, the run that starts included
	CPUCapacity      int64
	EnforcesCapacity bool
}
