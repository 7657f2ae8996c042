package server

import (
	"time"

	"tealpond/internal/coordination"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// defaultKeyHistory is the period for which a watch may resume where the settings name no historyS.
const defaultKeyHistory = time.Minute

// The handlers below serve the coordination calls of applications. Each change goes through the
// log, and is answered once it is applied. A call that the applied state refuses is refused
// without a log entry if that outcome is final for the call: the leader's lease shows that no
// other leader has decided otherwise. A full table is not final in this sense: an earlier leader
// may have put the call into the log already, so the commands decide about it when they are
// applied.

var (
	responseLockHeld    = rpc.Response{Code: rpc.CodeConflict, Text: coordination.ErrHeld.Error()}
	responseLockLost    = rpc.Response{Code: rpc.CodeConflict, Text: coordination.ErrLost.Error()}
	responseKeyNotFound = rpc.Response{Code: rpc.CodeNotFound, Text: "no such key"}
)

// handleAcquireLock acquires a lock. Locks used for elections are requested by many callers
// while one holds them, so the refusal of a lock that another caller holds costs no log entry.
func (r *Replica) handleAcquireLock(request *coordination.Acquire, _ *transport.Stream, reply replyFunc) {
	if r.state.Coordination.HeldByOther(*request, r.clock(time.Now())) {
		reply(responseLockHeld)
		return
	}
	r.enqueueCommand(state.CommandAcquireLock, (*state.AcquireLock)(request), outcomeReply(reply))
}

// handleRenewLock extends the hold of a lock. A lock that was lost can't be renewed again.
func (r *Replica) handleRenewLock(request *coordination.Renew, _ *transport.Stream, reply replyFunc) {
	if !r.state.Coordination.Holds(request.Name, request.Holder, request.Fence, r.clock(time.Now())) {
		reply(responseLockLost)
		return
	}
	r.enqueueCommand(state.CommandRenewLock, (*state.RenewLock)(request), outcomeReply(reply))
}

// handleReleaseLock releases a lock.
func (r *Replica) handleReleaseLock(request *coordination.Release, _ *transport.Stream, reply replyFunc) {
	r.enqueueCommand(state.CommandReleaseLock, (*state.ReleaseLock)(request), outcomeReply(reply))
}

// handleNextNumber increments a counter and returns its new value.
func (r *Replica) handleNextNumber(name *string, _ *transport.Stream, reply replyFunc) {
	r.enqueueCommand(state.CommandNextNumber, &state.NextNumber{Name: *name}, outcomeReply(reply))
}

// handlePutKey sets a key. A put that will be refused goes through the log too: a copy of
// the same put may be in flight, and must be refused then as well.
//
// A put for which there is no memory is not proposed. As with a full table, an earlier leader may have
// put a copy of it into the log, so its outcome is unknown.
func (r *Replica) handlePutKey(request *coordination.Put, _ *transport.Stream, reply replyFunc) {
	if !r.hasMemoryForPut(request) {
		reply(responseOutcomeUnknown)
		return
	}
	request.HistoryMs = r.settings.KeyHistory(defaultKeyHistory).Milliseconds()
	r.puttingBytes += request.Bytes()
	r.enqueueCommand(state.CommandPutKey, (*state.PutKey)(request), func(outcome state.Outcome, known bool) {
		r.puttingBytes -= request.Bytes()
		outcomeReply(reply)(outcome, known)
	})
}

const (
	// keyMemoryFraction is the fraction of limits.memoryMb that keys, their history and the outcomes of
	// puts may occupy.
	keyMemoryFraction = 0.1
	// maxPutShare is the fraction of what is left of it that one put may take, so that large values
	// leave room for small ones.
	maxPutShare = 0.125
)

// hasMemoryForPut reports whether there is memory for a put besides what is kept and what was proposed.
// Without a limit of memory there always is.
func (r *Replica) hasMemoryForPut(request *coordination.Put) bool {
	const bytesPerMB = 1 << 20
	limit := keyMemoryFraction * float64(r.settings.Limits.MemoryMB) * bytesPerMB
	left := limit - float64(r.state.Coordination.Bytes()+r.puttingBytes)
	return limit <= 0 || float64(request.Bytes()) <= left*maxPutShare
}

// handleReadKey reads a key from the applied state. The leader has applied each put that was
// ever acknowledged, and its lease shows that no other leader has acknowledged one since.
func (r *Replica) handleReadKey(key *string, _ *transport.Stream, reply replyFunc) {
	value, ok := r.state.Coordination.Read(*key)
	if !ok {
		reply(responseKeyNotFound)
		return
	}
	reply(rpc.Response{Code: rpc.CodeOK, Value: value.Revision, Body: transport.Encode(value)})
}
