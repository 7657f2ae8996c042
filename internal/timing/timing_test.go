package timing

import "testing"

// TestRelations holds the constants to the relations on which the daemons rest.
func TestRelations(t *testing.T) {
	for name, holds := range map[string]bool{
		"five heartbeats fit into an election timeout":    5*HeartbeatInterval <= ElectionTimeout,
		"a leader's lease ends before an election can":    LeaderLeaseFraction < 1,
		"an election ends before a worker's lease":        ElectionTimeout+ElectionTimeoutJitter < MaxLeaseDuration,
		"two lease renewals fit into a worker's silence":  WorkerSilenceTimeout > 2*LeaseRenewInterval,
		"a run's lease ends before its worker's":          MaxRunLeaseAhead < MaxLeaseDuration,
		"a renewal fits into the contact with the leader": LeaderContactTimeout > MembershipRenewInterval+ElectionTimeout+ElectionTimeoutJitter,
		"memberships bear two lost renewals":              MembershipLeaseDuration > 2*AgentMembershipRenewInterval,
	} {
		if !holds {
			t.Errorf("does not hold: %s", name)
		}
	}
}
