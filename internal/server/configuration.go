package server

import (
	"crypto/sha256"
	"strconv"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// handlePutConfig replaces the cluster's configuration if the version that the update
// is based on is still in force.
func (r *Replica) handlePutConfig(request *rpc.ConfigUpdate, _ *transport.Stream, reply replyFunc) {
	r.enqueueConfigUpdate(request, state.CommandReplaceConfiguration,
		&state.ReplaceConfiguration{BaseVersion: request.BaseVersion, Raw: request.Raw}, reply)
}

// handleChangeConfig changes single items of the cluster's configuration, under the same
// condition.
func (r *Replica) handleChangeConfig(request *rpc.ConfigUpdate, _ *transport.Stream, reply replyFunc) {
	r.enqueueConfigUpdate(request, state.CommandChangeConfiguration,
		&state.ChangeConfiguration{BaseVersion: request.BaseVersion, Raw: request.Raw}, reply)
}

// enqueueConfigUpdate proposes an operator's update. Only the version is read here: the
// text was validated by the daemon that received it, and is parsed when the command is applied.
func (r *Replica) enqueueConfigUpdate(request *rpc.ConfigUpdate, name string, command state.Command, reply replyFunc) {
	if version, accepted := r.state.AcceptedUpdate(request.BaseVersion, request.Raw); accepted {
		// This is a retry of an accepted update. It is not replicated again, which would
		// take long for a large text.
		reply(rpc.Response{Code: rpc.CodeOK, Value: version})
		return
	}
	key := pendingUpdateKey{name, request.BaseVersion, sha256.Sum256(request.Raw)}
	waiting, underWay := r.pendingUpdates[key]
	r.pendingUpdates[key] = append(waiting, reply)
	if underWay {
		return
	}
	id := "desired/" + strconv.FormatInt(clusterconfig.VersionOf(request.Raw), 10)
	r.trace.Record(id, "ordered", int64(r.node.LastIndex()+1), "")
	r.enqueueCommand(name, command, r.withTrace(id, "settled", func(outcome state.Outcome, known bool) {
		replies := r.pendingUpdates[key]
		delete(r.pendingUpdates, key)
		for _, reply := range replies {
			outcomeReply(reply)(outcome, known)
		}
	}))
}

// pendingUpdateKey identifies an operator's update that is in the log and not applied yet.
// A retry during that time waits for the same outcome.
type pendingUpdateKey struct {
	command string
	base    int64
	text    [sha256.Size]byte
}

// handleGetConfig returns the whole newest configuration. The read is linearizable:
//   - a change that this leader has acknowledged is applied here, since it is acknowledged
//     when it is applied;
//   - a change that an earlier leader has acknowledged lies before the first entry of this
//     term, which is applied before a leader is ready;
//   - no later leader has acknowledged a change while this one holds its lease.
//
// A process that is paused between the check of its lease and the response returns a
// configuration that was the newest at some time during the call, since the call began before
// the check.
func (r *Replica) handleGetConfig(_ []byte, _ *transport.Stream, reply replyFunc) {
	if r.state.Configuration.Version == 0 {
		// This is not rpc.CodeNotFound, which would fail an operator's call permanently:
		// the first configuration may be about to be applied.
		reply(responseNotConfigured)
		return
	}
	reply(rpc.Response{Code: rpc.CodeOK, Value: r.state.Configuration.Version, Body: r.state.Configuration.Raw})
}

// handleGetLimits returns the limits of the newest configuration.
func (r *Replica) handleGetLimits(_ []byte, _ *transport.Stream, reply replyFunc) {
	if r.state.Configuration.Version == 0 {
		reply(responseNotConfigured)
		return
	}
	reply(rpc.Response{Code: rpc.CodeOK, Value: r.state.Configuration.Version, Body: transport.Encode(r.state.Configuration.Limits)})
}
