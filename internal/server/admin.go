package server

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// serverRole is the role in a server's membership lease: a server runs within the daemon
// that clients and operators call.
const serverRole = "edge"

// handleTrace answers from the ring buffer of trace events of this daemon.
func (r *Replica) handleTrace(body []byte, reply replyFunc) {
	reply(rpc.HandleTrace(r.trace, r.settings.NodeName, serverRole, body))
}

// handleClusterState returns the tables of this replica's copy of the state. Any
// replica answers, so that queries put no load on the leader.
func (r *Replica) handleClusterState(_ []byte, reply replyFunc) {
	response := rpc.ClusterState{Node: r.settings.NodeName, Clock: r.state.Clock}
	if r.node != nil {
		response.IsLeader, response.AppliedIndex = r.node.IsLeader(), r.state.AppliedIndex
	}
	response.Tables = append([]rpc.Table{daemonTable(r.memberLeases), runnerTable(r.runnerList.table)}, stateTables(r.state)...)
	response.Tables = append(response.Tables, tallyTables(r.tallies.replica, time.Now())...)
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(response)})
}
