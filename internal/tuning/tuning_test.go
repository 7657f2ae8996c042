package tuning

import "testing"

// TestRelationsThatTheReasonsName holds the constants to the relations on which
// their doc comments rest.
func TestRelationsThatTheReasonsName(t *testing.T) {
	for name, holds := range map[string]bool{
		"five heartbeats fit into an election timeout":         5*HeartbeatInterval <= ElectionTimeout,
		"a leader's lease ends before an election can":         LeaderLeaseFraction < 1,
		"an election ends before a worker's lease":             ElectionTimeout+ElectionTimeoutJitter < MaxLeaseDuration,
		"snapshots are taken at digests":                       SnapshotInterval%DigestInterval == 0,
		"a snapshot leaves fewer entries than it covers":       SnapshotTrailingEntries < SnapshotInterval,
		"a candidate expires after several announcements":      CandidateExpiry > 3*BootstrapAnnounceInterval,
		"three announcements fit into a candidate's time":      BootstrapCandidateTTL > 3*BootstrapAnnounceInterval,
		"two lease renewals fit into a worker's silence":       WorkerSilenceTimeout > 2*LeaseRenewInterval,
		"a run's lease ends before its worker's":               MaxRunLeaseAhead < MaxLeaseDuration,
		"a renewal fits into the contact with the leader":      LeaderContactTimeout > MembershipRenewInterval+ElectionTimeout+ElectionTimeoutJitter,
		"memberships bear two lost renewals":                   MembershipLeaseDuration > 2*AgentMembershipRenewInterval,
		"a backoff ends before a waiting job counts as lost":   MaxCrashBackoff.Seconds() < 3,
		"operators get the response within a second":           ControlRequestTimeout.Seconds() < 1 && ControlLeaderWait < ControlRequestTimeout,
		"an aggregator outwaits an election":                   AggregatorRequestTimeout > ExpectedElectionTime && AggregatorLeaderLossTimeout > ExpectedElectionTime,
		"long tasks may fill the half at which a job is lost":  LongTaskFreeFraction > 0.5,
		"a learnt factor lies between its bounds at the start": MinStragglerFactor < InitialStragglerFactor && InitialStragglerFactor < MaxStragglerFactor,
	} {
		if !holds {
			t.Errorf("does not hold: %s", name)
		}
	}
}
