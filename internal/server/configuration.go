package server

import (
	"strconv"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// responseNotConfigured answers what needs a configuration before there is one.
var responseNotConfigured = rpc.Response{Code: 503, Text: "not configured yet", RetryAfterMs: 1000}

// handlePutConfig replaces the configuration, if its base is still in force.
func (r *Replica) handlePutConfig(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request rpc.ConfigUpdate
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	// Only the version is read here: the text was checked where it came in, and
	// is parsed when the command is applied.
	id := "desired/" + strconv.FormatInt(clusterconfig.VersionOf(request.Raw), 10)
	r.trace.Record(id, "ordered", int64(r.node.LastIndex()+1), "")
	r.enqueueCommand("replace", &state.ReplaceConfiguration{BaseVersion: request.BaseVersion, Raw: request.Raw}, r.withTrace(id, "settled", outcomeReply(reply)))
}

// handleGetConfig gives the newest configuration, whole. A change that this leader has
// confirmed is applied here, since it is confirmed by being applied; one that an
// earlier leader confirmed lies before the first entry of this term, which is
// applied before a leader is ready; and no later leader has confirmed any while
// this one holds its lease. A process that freezes between the look at its lease
// and the answer gives what was newest within the call, since that began before.
func (r *Replica) handleGetConfig(_ []byte, _ *transport.Stream, reply replyFunc) {
	if r.state.Configuration.Version == 0 {
		// Not a 404, which would end an operator's call for good: the first
		// configuration may be on its way.
		reply(responseNotConfigured)
		return
	}
	reply(rpc.Response{Code: 200, Value: r.state.Configuration.Version, Body: r.state.Configuration.Raw})
}

// handleGetLimits gives the limits of the newest configuration.
func (r *Replica) handleGetLimits(_ []byte, _ *transport.Stream, reply replyFunc) {
	if r.state.Configuration.Version == 0 {
		reply(responseNotConfigured)
		return
	}
	reply(rpc.Response{Code: 200, Value: r.state.Configuration.Version, Body: transport.Encode(r.state.Configuration.Limits)})
}
