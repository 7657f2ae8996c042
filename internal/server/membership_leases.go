package server

import (
	"sort"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// memberLease is a daemon's membership lease, and when it was last renewed.
type memberLease struct {
	rpc.MembershipLease
	renewedAt time.Time
}

// memberKey is the key of a daemon in Replica.memberLeases.
func memberKey(node, role string) string { return node + "/" + role }

// handleRenewMembership renews a daemon's membership lease.
func (r *Replica) handleRenewMembership(lease *rpc.MembershipLease, _ *transport.Stream, reply replyFunc) {
	r.memberLeases[memberKey(lease.Node, lease.Role)] = memberLease{*lease, time.Now()}
	reply(responseOK)
}

// handleListMembers lists the daemons that hold a membership lease.
func (r *Replica) handleListMembers(_ []byte, _ *transport.Stream, reply replyFunc) {
	var members []rpc.MembershipLease
	for key, lease := range r.memberLeases {
		if time.Since(lease.renewedAt) > tuning.MembershipLeaseDuration {
			delete(r.memberLeases, key)
			continue
		}
		members = append(members, lease.MembershipLease)
	}
	sort.Slice(members, func(a, b int) bool { return members[a].Node+members[a].Role < members[b].Node+members[b].Role })
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(members)})
}

// zoneOf is the zone of a server, from its membership lease; empty if unknown.
func (r *Replica) zoneOf(node string) string { return r.memberLeases[memberKey(node, serverRole)].Zone }
