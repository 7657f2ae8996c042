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

// handleRenewMembership renews a daemon's membership lease.
func (r *Replica) handleRenewMembership(raw []byte, _ *transport.Stream, reply replyFunc) {
	var lease rpc.MembershipLease
	if transport.Decode(raw, &lease) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	r.memberLeases[lease.Node+"/"+lease.Role] = memberLease{lease, time.Now()}
	reply(rpc.Response{Code: 200})
}

// handleListMembers lists the daemons that hold a membership lease, and the core.
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
	reply(rpc.Response{Code: 200, Body: transport.Encode(members)})
}

// zoneOf is the zone of a core daemon, from its membership lease; empty if
// unknown.
func (r *Replica) zoneOf(node string) string { return r.memberLeases[node+"/edge"].Zone }
