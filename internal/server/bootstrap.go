package server

import (
	"slices"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// handleBootstrapAnnouncement handles, on a seed, the announcement of a candidate for the initial
// cluster.
func (r *Replica) handleBootstrapAnnouncement(body []byte, reply replyFunc) {
	var announcement rpc.BootstrapAnnouncement
	if transport.Decode(body, &announcement) != nil {
		reply(responseBadRequest)
		return
	}
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(r.bootstrap.HandleAnnouncement(announcement, time.Now()))})
}

// isUninitialized reports whether this server waits to be added to a cluster and has no cluster
// state yet: it was restarted, is bound to no founding voter set, and has seen no term.
func (r *Replica) isUninitialized() bool {
	return r.node != nil && len(r.persisted.Founders) == 0 && r.node.Term() == 0 && r.node.LastIndex() == 0
}

// handleBootstrapProposal handles a seed's response. If the proposed voter set includes this
// server, the server binds itself to the set. It starts its node once all members of the set are
// bound. If the set does not include it, it joins the cluster formed without it.
func (r *Replica) handleBootstrapProposal(proposal rpc.BootstrapProposal) {
	if !r.StorageOpened() || r.identityResets > 0 {
		return
	}
	isFounder := slices.Contains(proposal.Voters, r.self)
	if r.isUninitialized() && isFounder {
		// It announced itself before it was restarted, and the other founders wait for it. Waiting
		// here to be added to a cluster would block them forever.
		r.node = nil
	}
	switch {
	case r.node != nil || len(proposal.Voters) == 0:
	case len(r.persisted.Founders) > 0:
		if proposal.Start {
			r.startNode(r.persisted.Snapshot)
		}
	case isFounder:
		r.bindToFounders(proposal.Voters)
	default:
		// The cluster was formed without this server, which joins it.
		r.startNode(r.persisted.Snapshot)
	}
}

// bindToFounders permanently binds this server to the voters of the initial cluster.
func (r *Replica) bindToFounders(voters []raft.Member) {
	snapshot := raft.Snapshot{Index: 1, Voters: voters}
	if err := r.storage.Bootstrap(voters, snapshot); err != nil {
		_ = r.log.Log("level", "error", "event", "bootstrap.failed", "error", err)
		return
	}
	r.persisted.Founders, r.persisted.Snapshot = voters, snapshot
	r.lastSnapshotIndex = 1
	_ = r.log.Log("level", "info", "event", "bootstrap.bound", "voters", len(voters))
}
