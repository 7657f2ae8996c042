package server

import (
	"slices"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// handleBootstrapAnnouncement takes the announcement of a candidate for the first core.
func (r *Replica) handleBootstrapAnnouncement(raw []byte, reply replyFunc) {
	var announcement rpc.BootstrapAnnouncement
	if transport.Decode(raw, &announcement) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	reply(rpc.Response{Code: 200, Body: transport.Encode(r.bootstrap.HandleAnnouncement(announcement, time.Now()))})
}

// handleBootstrapProposal takes what the seed said.
func (r *Replica) handleBootstrapProposal(proposal rpc.BootstrapProposal) {
	if !r.StorageOpened() || r.identityResets > 0 {
		return
	}
	named := slices.Contains(proposal.Voters, r.self)
	if r.isBlank() && named {
		// It announced itself before it was restarted, and the others wait for
		// it: to stand by until it is taken in would block them for good.
		r.node = nil
	}
	if r.node != nil || len(proposal.Voters) == 0 {
		return
	}
	if len(r.persisted.Founders) == 0 {
		if !named {
			// The core was founded without this daemon, which joins it.
			r.startNode(r.persisted.Snapshot)
			return
		}
		snapshot := raft.Snapshot{Index: 1, Voters: proposal.Voters}
		if err := r.disk.Bootstrap(proposal.Voters, snapshot); err != nil {
			_ = r.log.Log("level", "error", "event", "core.bind", "why", err)
			return
		}
		r.persisted.Founders, r.persisted.Snapshot = proposal.Voters, snapshot
		r.lastSnapshotIndex = 1
		_ = r.log.Log("level", "info", "event", "core.bound", "voters", len(proposal.Voters))
		return
	}
	if proposal.Start {
		r.startNode(r.persisted.Snapshot)
	}
}

// isBlank tells whether this daemon waits to be taken in and knows of nothing yet:
// it was started again, bound to no set, and heard of no term.
func (r *Replica) isBlank() bool {
	return r.node != nil && len(r.persisted.Founders) == 0 && r.node.Term() == 0 && r.node.LastIndex() == 0
}
