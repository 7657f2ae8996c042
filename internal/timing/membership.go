package timing

import "time"

const (
	// MembershipLeaseDuration is how long the membership of a daemon lasts without renewal.
	MembershipLeaseDuration = 15 * time.Second
	// MembershipRenewInterval is the time between two renewals of the membership of a daemon that
	// serves clients.
	MembershipRenewInterval = 1500 * time.Millisecond
	// AgentMembershipRenewInterval is the time between two renewals of an agent's membership. It is
	// longer, since lease renewals also show the leader that an agent is alive.
	AgentMembershipRenewInterval = 5 * time.Second
	// LeaderContactTimeout is the maximum age of the last contact with the leader at which a daemon
	// still reports itself as ready. A renewal interval, and an election during the next renewal, fit
	// into it.
	LeaderContactTimeout = 3 * time.Second
)
