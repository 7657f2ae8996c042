package timing

import "time"

const (
	// MembershipLeaseDuration is how long a daemon's membership lasts without a renewal.
	MembershipLeaseDuration = 15 * time.Second
	// MembershipRenewInterval is the time between two renewals of the membership of a daemon that
	// serves clients.
	MembershipRenewInterval = 1500 * time.Millisecond
	// AgentMembershipRenewInterval is the time between two renewals of an agent's membership; the
	// leader also hears of agents by their lease renewals.
	AgentMembershipRenewInterval = 5 * time.Second
	// LeaderContactTimeout is how long ago a daemon that reports itself as ready may have heard the
	// leader; a renewal and an election during the next fit in.
	LeaderContactTimeout = 3 * time.Second
)
