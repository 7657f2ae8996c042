package server

import (
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// handleTrace answers from this daemon's own ring.
func (r *Replica) handleTrace(raw []byte, reply replyFunc) {
	reply(rpc.HandleTrace(r.trace, r.settings.NodeName, "edge", raw))
}

// handleClusterState gives the tables of this daemon's copy of the state. Any core
// daemon answers, so that queries need not trouble the leader.
func (r *Replica) handleClusterState(_ []byte, reply replyFunc) {
	response := rpc.ClusterState{Node: r.settings.NodeName, Clock: r.state.Clock}
	if r.node != nil {
		response.IsLeader, response.AppliedIndex = r.node.IsLeader(), r.state.AppliedIndex
	}
	response.Tables = stateTables(r)
	reply(rpc.Response{Code: 200, Body: transport.Encode(response)})
}
