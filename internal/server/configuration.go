package server

import (
	"strconv"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// handlePutConfig replaces the cluster's configuration, if the version that the
// update is based on is still in force.
func (r *Replica) handlePutConfig(request *rpc.ConfigUpdate, _ *transport.Stream, reply replyFunc) {
	r.enqueueConfigUpdate(request, state.CommandReplaceConfiguration,
		&state.ReplaceConfiguration{BaseVersion: request.BaseVersion, Raw: request.Raw}, reply)
}

// handleChangeConfig changes items of the cluster's configuration, under the same
// condition.
func (r *Replica) handleChangeConfig(request *rpc.ConfigUpdate, _ *transport.Stream, reply replyFunc) {
	r.enqueueConfigUpdate(request, state.CommandChangeConfiguration,
		&state.ChangeConfiguration{BaseVersion: request.BaseVersion, Raw: request.Raw}, reply)
}

// enqueueConfigUpdate puts an operator's update into the log. Only the version is read
// here: the text was checked where it came in, and is parsed when the command is applied.
func (r *Replica) enqueueConfigUpdate(request *rpc.ConfigUpdate, name string, command state.Command, reply replyFunc) {
	id := "desired/" + strconv.FormatInt(clusterconfig.VersionOf(request.Raw), 10)
	r.trace.Record(id, "ordered", int64(r.node.LastIndex()+1), "")
	r.enqueueCommand(name, command, r.withTrace(id, "settled", outcomeReply(reply)))
}

// handleGetConfig gives the newest configuration, whole. A change that this leader has
// confirmed is applied here, since it is confirmed by being applied; one that an
// earlier leader confirmed lies before the first entry of this term, which is
// applied before a leader is ready; and no later leader has confirmed any while
// this one holds its lease. A process that freezes between the check of its lease
// and the response gives what was newest within the call, since that began before.
func (r *Replica) handleGetConfig(_ []byte, _ *transport.Stream, reply replyFunc) {
	if r.state.Configuration.Version == 0 {
		// Not rpc.CodeNotFound, which would end an operator's call for good: the
		// first configuration may be on its way.
		reply(responseNotConfigured)
		return
	}
	reply(rpc.Response{Code: rpc.CodeOK, Value: r.state.Configuration.Version, Body: r.state.Configuration.Raw})
}

// handleGetLimits gives the limits of the newest configuration.
func (r *Replica) handleGetLimits(_ []byte, _ *transport.Stream, reply replyFunc) {
	if r.state.Configuration.Version == 0 {
		reply(responseNotConfigured)
		return
	}
	reply(rpc.Response{Code: rpc.CodeOK, Value: r.state.Configuration.Version, Body: transport.Encode(r.state.Configuration.Limits)})
}
