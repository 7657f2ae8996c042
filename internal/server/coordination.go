package server

import (
	"time"

	"tealpond/internal/coordination"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// defaultKeyHistory is for how long a watch may resume where the settings name no historyS.
const defaultKeyHistory = time.Minute

// The calls of applications. Each change goes through the log, and is answered once it is
// applied. What the applied state refuses already is refused without an entry, where that
// can't change any more for the call: the leader's lease shows that no other leader has
// decided otherwise. Whether there is room is not such a thing: an earlier leader may have
// put the call into the log already, so the commands decide on it.

var (
	responseLockHeld    = rpc.Response{Code: rpc.CodeConflict, Text: coordination.ErrHeld.Error()}
	responseLockLost    = rpc.Response{Code: rpc.CodeConflict, Text: coordination.ErrLost.Error()}
	responseKeyNotFound = rpc.Response{Code: rpc.CodeNotFound, Text: "no such key"}
)

// handleAcquireLock asks for a lock. Elections are asked for by many while one holds them,
// so a lock that another holds costs no entry.
func (r *Replica) handleAcquireLock(request *coordination.Acquire, _ *transport.Stream, reply replyFunc) {
	if r.state.Coordination.HeldByOther(*request, r.clock(time.Now())) {
		reply(responseLockHeld)
		return
	}
	r.enqueueCommand(state.CommandAcquireLock, (*state.AcquireLock)(request), outcomeReply(reply))
}

// handleRenewLock asks for more time. A lock that is lost stays so.
func (r *Replica) handleRenewLock(request *coordination.Renew, _ *transport.Stream, reply replyFunc) {
	if !r.state.Coordination.Holds(request.Name, request.Holder, request.Fence, r.clock(time.Now())) {
		reply(responseLockLost)
		return
	}
	r.enqueueCommand(state.CommandRenewLock, (*state.RenewLock)(request), outcomeReply(reply))
}

// handleReleaseLock gives a lock back.
func (r *Replica) handleReleaseLock(request *coordination.Release, _ *transport.Stream, reply replyFunc) {
	r.enqueueCommand(state.CommandReleaseLock, (*state.ReleaseLock)(request), outcomeReply(reply))
}

// handleNextNumber gives a number.
func (r *Replica) handleNextNumber(name *string, _ *transport.Stream, reply replyFunc) {
	r.enqueueCommand(state.CommandNextNumber, &state.NextNumber{Name: *name}, outcomeReply(reply))
}

// handlePutKey sets a key. Also what will be refused goes through the log: a copy of the
// same put may be on its way, and must be refused then too.
func (r *Replica) handlePutKey(request *coordination.Put, _ *transport.Stream, reply replyFunc) {
	request.HistoryMs = r.settings.KeyHistory(defaultKeyHistory).Milliseconds()
	r.enqueueCommand(state.CommandPutKey, (*state.PutKey)(request), outcomeReply(reply))
}

// handleReadKey reads a key from the applied state. The leader has applied all that was
// ever acknowledged, and its lease shows that nobody else has acknowledged anything since.
func (r *Replica) handleReadKey(key *string, _ *transport.Stream, reply replyFunc) {
	value, ok := r.state.Coordination.Read(*key)
	if !ok {
		reply(responseKeyNotFound)
		return
	}
	reply(rpc.Response{Code: rpc.CodeOK, Value: value.Revision, Body: transport.Encode(value)})
}
