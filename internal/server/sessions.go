package server

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// agentSession is the session of an agent that is connected to this replica, whether that
// leads or not: its assignments are read from this replica's applied state and sent on
// this stream.
type agentSession struct {
	stream *transport.Stream
	fence  int64
	// knownIndex is the newest applied index that the agent was sent in a response.
	// Assignments are held back until this replica has applied that index: an older
	// state may list a run that has ended, and that runs elsewhere by now.
	knownIndex uint64
	synced     bool // all of the worker's allocations were sent on this stream
}

// openSession records the stream on which an agent renews its lease, and opens a session if
// the stream or the fence is a new one.
func (r *Replica) openSession(renewal *rpc.LeaseRenewal, stream *transport.Stream) {
	if stream == nil {
		return
	}
	session := r.sessions[renewal.Worker]
	if session == nil || session.stream != stream || session.fence != renewal.Fence {
		r.dropSessionsOfDeadWorkers()
		session = &agentSession{stream: stream, fence: renewal.Fence, knownIndex: renewal.KnownIndex}
		r.sessions[renewal.Worker] = session
		r.sessionsUnsynced = true
	}
	// An agent that is synced again may know of a newer state.
	session.knownIndex = max(session.knownIndex, renewal.KnownIndex)
}

// syncSessions sends agents with a new connection all allocations on their workers, since
// assignments on the previous connection may be lost.
func (r *Replica) syncSessions() {
	if !r.sessionsUnsynced {
		return
	}
	r.sessionsUnsynced = false
	for workerID, session := range r.sessions {
		if session.synced {
			continue
		}
		worker := r.state.Workers[workerID]
		if worker == nil || worker.Dead || worker.Fence != session.fence || r.state.AppliedIndex < session.knownIndex {
			r.sessionsUnsynced = true
			continue
		}
		session.synced = true
		for _, allocation := range r.state.AllocationsOn(workerID) {
			r.queueAssignment(allocation)
		}
	}
}

// dropSessionsOfDeadWorkers removes sessions whose runners were replaced: their agents
// continue with a new incarnation, often on the same stream.
func (r *Replica) dropSessionsOfDeadWorkers() {
	for workerID := range r.sessions {
		if worker := r.state.Workers[workerID]; worker != nil && worker.Dead {
			delete(r.sessions, workerID)
		}
	}
}

// resyncSessions marks all sessions to be synced again, after this replica's state was
// replaced as a whole.
func (r *Replica) resyncSessions() {
	for _, session := range r.sessions {
		session.synced = false
		r.sessionsUnsynced = true
	}
}

// dropSessions removes the sessions of a stream that ended.
func (r *Replica) dropSessions(stream *transport.Stream) {
	for workerID, session := range r.sessions {
		if session.stream == stream {
			delete(r.sessions, workerID)
		}
	}
}

// closeSessions closes all sessions and their streams: agents whose stream is closed look
// for another server at once.
func (r *Replica) closeSessions() {
	for _, session := range r.sessions {
		session.stream.Close()
	}
	r.sessions = map[string]*agentSession{}
}

// queueAssignment queues the start or stop of a run for the agent of its worker if that is
// connected to this replica.
func (r *Replica) queueAssignment(allocation *state.Allocation) {
	session := r.sessions[allocation.Worker]
	worker := r.state.Workers[allocation.Worker]
	if session == nil || !session.synced || worker == nil || worker.Fence != session.fence {
		return
	}
	if lease := r.leases[allocation.Worker]; r.leading && (lease == nil || lease.expiring) {
		return
	}
	assignment := rpc.Assignment{
		Worker: allocation.Worker,
		Fence:  worker.Fence,
		Stop:   allocation.Stopping,
		Task:   allocation.TaskName(),
		Run:    allocation.Run,
	}
	if !allocation.Stopping {
		job := r.state.Jobs[allocation.Job]
		if job == nil {
			return
		}
		grace, evacuated := r.startGrace(worker.Zone, time.Now())
		assignment.Evacuated, assignment.StartWithinMs = evacuated, grace.Milliseconds()
		assignment.JobSpec, assignment.Checkpoint = job.Spec, allocation.Checkpoint
		step := job.Steps[allocation.Step]
		assignment.EstimateMs, assignment.LongRunning = step.EstimateMs, step.LongRunning
		if worker.RemoteFrom(step.PreferredRack) {
			assignment.EstimateMs = int64(float64(assignment.EstimateMs) * r.state.RemoteFactor())
		}
	}
	event := "start ordered"
	if assignment.Stop {
		event = "stop ordered"
	}
	r.trace.Record(assignment.Task, event, int64(assignment.Run), worker.Node)
	r.pendingAssignments[session.stream] = append(r.pendingAssignments[session.stream], assignment)
}

// sendAssignments sends the assignments of this loop iteration, one frame for each stream.
func (r *Replica) sendAssignments() {
	r.noticeEvacuations(time.Now())
	for _, id := range r.state.TakeChangedRuns() {
		if allocation := r.state.Allocations[id]; allocation != nil {
			r.queueAssignment(allocation)
		}
	}
	r.syncSessions()
	for stream, assignments := range r.pendingAssignments {
		r.metrics.count("assignments", len(assignments))
		r.metrics.count("assignment_frames", 1)
		stream.Send(transport.Frame{Kind: rpc.FrameAssignments, Body: transport.Encode(assignments)})
		delete(r.pendingAssignments, stream)
	}
}
