package timing

import "testing"

// TestRelations checks the relations between the constants that the daemons depend on.
func TestRelations(t *testing.T) {
	for name, holds := range map[string]bool{
		"five heartbeats fit into an election timeout":       5*HeartbeatInterval <= ElectionTimeout,
		"a leader's lease expires before an election":        LeaderLeaseFraction < 1,
		"an election starts before a worker's lease expires": ElectionTimeout+ElectionTimeoutJitter < MaxLeaseDuration,
		"two lease renewals fit into a worker's timeout":     WorkerSilenceTimeout > 2*LeaseRenewInterval,
		"a run's lease expires before its worker's":          MaxRunLeaseAhead < MaxLeaseDuration,
		"a renewal and an election timeout fit into the contact timeout": LeaderContactTimeout >
			MembershipRenewInterval+ElectionTimeout+ElectionTimeoutJitter,
		"a membership survives a lost renewal": MembershipLeaseDuration > 2*AgentMembershipRenewInterval,
	} {
		if !holds {
			t.Errorf("does not hold: %s", name)
		}
	}
}
