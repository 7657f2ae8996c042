package server

import (
	"slices"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// handleBootstrapAnnouncement takes the announcement of a candidate for the first
// cluster, as a seed.
func (r *Replica) handleBootstrapAnnouncement(body []byte, reply replyFunc) {
	var announcement rpc.BootstrapAnnouncement
	if transport.Decode(body, &announcement) != nil {
		reply(responseBadRequest)
		return
	}
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(r.bootstrap.HandleAnnouncement(announcement, time.Now()))})
}

// isBlank reports whether this server waits to be taken in and knows of nothing yet:
// it was started again, bound to no set, and heard of no term.
func (r *Replica) isBlank() bool {
	return r.node != nil && len(r.persisted.Founders) == 0 && r.node.Term() == 0 && r.node.LastIndex() == 0
}

// handleBootstrapProposal takes a seed's response: this server binds itself to the
// set that names it, starts once all of the set are bound, and joins a cluster that
// was formed without it.
func (r *Replica) handleBootstrapProposal(proposal rpc.BootstrapProposal) {
	if !r.StorageOpened() || r.identityResets > 0 {
		return
	}
	named := slices.Contains(proposal.Voters, r.self)
	if r.isBlank() && named {
		// It announced itself before it was restarted, and the others wait for
		// it: to stand by until it is taken in would block them for ever.
		r.node = nil
	}
	switch {
	case r.node != nil || len(proposal.Voters) == 0:
	case len(r.persisted.Founders) > 0:
		if proposal.Start {
			r.startNode(r.persisted.Snapshot)
		}
	case named:
		r.bindToFounders(proposal.Voters)
	default:
		// The cluster was formed without this server, which joins it.
		r.startNode(r.persisted.Snapshot)
	}
}

// bindToFounders binds this server to the voters of the first cluster, permanently.
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
