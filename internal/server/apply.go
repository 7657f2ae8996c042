package server

import (
	"context"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// groupCommitIntervalPerVoter is the minimum time between two log entries per other voter. Commands
// that arrive within it share an entry.
const groupCommitIntervalPerVoter = time.Millisecond

// pendingEntry holds the callers whose commands are in one log entry.
type pendingEntry struct {
	term    uint64
	replies []commandReply // nil where no caller waits
}

// replyUnknown answers the callers of an entry that will not be applied here as it was proposed:
// whether it takes effect is unknown.
func (p pendingEntry) replyUnknown() {
	for _, reply := range p.replies {
		if reply != nil {
			reply(state.Outcome{}, false)
		}
	}
}

// abandonEntry answers the callers that wait for an entry with an unknown outcome.
func (r *Replica) abandonEntry(index uint64) {
	entry, ok := r.pending[index]
	if ok {
		delete(r.pending, index)
		entry.replyUnknown()
	}
}

// abandonAllEntries answers the callers of all pending entries with an unknown outcome.
func (r *Replica) abandonAllEntries() {
	for index := range r.pending {
		r.abandonEntry(index)
	}
}

// apply applies the committed entries to the state. It returns false if there were none, or if the
// state was found to have diverged.
func (r *Replica) apply(ctx context.Context) bool {
	defer r.metrics.startTimer("apply")()
	entries := r.node.NextCommittedEntries()
	for _, entry := range entries {
		r.applyEntry(entry)
		r.takeDigestIfDue(ctx, entry.Index)
		r.takeSnapshotIfDue(ctx, entry.Index)
		if r.digests.divergedAt > 0 {
			return false
		}
	}
	return len(entries) > 0
}

// applyEntry applies one entry and answers the callers that wait for it.
func (r *Replica) applyEntry(entry raft.Entry) {
	if entry.Kind != raft.EntryNormal {
		r.state.SkipEntry(entry.Index)
		if entry.Kind == raft.EntryConfChange {
			_ = r.log.Log("level", "info", "event", "voters.changed", "index", entry.Index, "voters", len(r.node.VotersAt(entry.Index)))
		}
		// A caller may wait here too, if its proposal was replaced by the entry of a later leader.
		r.abandonEntry(entry.Index)
		return
	}
	outcomes := r.state.ApplyEntry(entry.Index, entry.Data)
	r.observeClocks(time.Now(), entry.Term)
	r.planning.due = true
	if !r.leading {
		// Only a leader plans, and a new leader considers all jobs.
		r.state.TakeNewAllocations()
	}
	r.recordCompletions(entry)
	r.replyToEntry(entry, outcomes)
	for _, confirmed := range r.state.TakeConfirmedDigests() {
		r.compareConfirmed(confirmed)
	}
}

// replyToEntry answers the callers that wait for an entry. An entry of another term is not the one
// they proposed, and its outcomes are not theirs.
func (r *Replica) replyToEntry(entry raft.Entry, outcomes []state.Outcome) {
	pending, ok := r.pending[entry.Index]
	if !ok {
		return
	}
	if pending.term != entry.Term {
		r.abandonEntry(entry.Index)
		return
	}
	delete(r.pending, entry.Index)
	for i, reply := range pending.replies {
		if reply != nil {
			reply(outcomes[i], true)
		}
	}
}

// recordCompletions records the runs and jobs that ended with an entry.
func (r *Replica) recordCompletions(entry raft.Entry) {
	for _, completed := range r.state.TakeEndedRuns() {
		r.trace.Record(completed.Allocation.TaskName(), "end applied", int64(completed.Allocation.Run), completed.Result)
		if r.leading && completed.Result == state.ResultDone {
			r.planning.planner.RecordCompletion(r.state, completed.Allocation, completed.ClosedAt)
		}
		if r.leading && r.debug {
			r.logRun(completed)
		}
	}
	for _, job := range r.state.TakeEndedJobs() {
		r.trace.Record(job.ID, "over", int64(entry.Index), job.Status())
		if r.leading && r.debug {
			r.logJob(job)
		}
	}
}

// enqueueCommand adds a command to the next log entry. The name is the one under which package
// state registers the command. reply may be nil.
func (r *Replica) enqueueCommand(name string, command state.Command, reply commandReply) {
	r.enqueueEncoded(state.EncodeCommand(name, command), reply)
}

// enqueueEncoded adds an encoded command to the next log entry.
func (r *Replica) enqueueEncoded(command state.EncodedCommand, reply commandReply) {
	r.commands = append(r.commands, command)
	r.replies = append(r.replies, reply)
}

// proposeQueued proposes the queued commands as one log entry. Commands are gathered for a while,
// because each entry costs a message to and from every other voter: the interval between entries
// grows with the number of voters. It returns the rest of the interval, or 0 if nothing is queued.
func (r *Replica) proposeQueued(now time.Time) time.Duration {
	if len(r.commands) == 0 {
		return 0
	}
	if wait := groupCommitIntervalPerVoter*time.Duration(len(r.node.Voters())-1) - now.Sub(r.proposedAt); wait > 0 {
		return wait
	}
	r.proposedAt = now
	commands, replies := r.commands, r.replies
	r.metrics.count("proposals", 1)
	r.metrics.count("commands", len(commands))
	r.commands, r.replies = nil, nil
	pending := pendingEntry{term: r.node.Term(), replies: replies}
	if !r.node.LeaderReady() || r.writeQueueFull() {
		pending.replyUnknown()
		return 0
	}
	index, err := r.node.Propose(transport.Encode(state.Batch{Clock: r.clock(now), WallClock: r.wallClock(now), Commands: commands}))
	if err != nil {
		pending.replyUnknown()
		return 0
	}
	// A caller may still wait for this index since an earlier term of this leader.
	r.abandonEntry(index)
	r.pending[index] = pending
	return 0
}
