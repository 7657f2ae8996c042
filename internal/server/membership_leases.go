package server

import (
	"sort"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// memberLease is a daemon's membership lease, and when it was last renewed.
type memberLease struct {
	rpc.MembershipLease
	renewedAt time.Time
}

// memberKey returns the key of a daemon in Replica.memberLeases.
func memberKey(node, role string) string { return node + "/" + role }

func (r *Replica) handleRenewMembership(lease *rpc.MembershipLease, _ *transport.Stream, reply replyFunc) {
	r.memberLeases[memberKey(lease.Node, lease.Role)] = memberLease{*lease, time.Now()}
	reply(responseOK)
}

// handleListMembers lists the daemons that hold a membership lease.
func (r *Replica) handleListMembers(_ []byte, _ *transport.Stream, reply replyFunc) {
	r.expireMemberships(time.Now())
	var members []rpc.MembershipLease
	for _, lease := range r.memberLeases {
		members = append(members, lease.MembershipLease)
	}
	sort.Slice(members, func(a, b int) bool { return members[a].Node+members[a].Role < members[b].Node+members[b].Role })
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(members)})
}

// expireMemberships removes the daemons that have not renewed their lease in time.
func (r *Replica) expireMemberships(now time.Time) {
	for key, lease := range r.memberLeases {
		if now.Sub(lease.renewedAt) > timing.MembershipLeaseDuration {
			delete(r.memberLeases, key)
		}
	}
}

// zoneOf returns the zone of a server from its membership lease; empty if unknown.
func (r *Replica) zoneOf(node string) string { return r.memberLeases[memberKey(node, serverRole)].Zone }
