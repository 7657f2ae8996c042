package timing

import "time"

const (
	// ExpectedElectionTime is how long a cluster is without a leader in an ordinary election: the
	// longest election timeout of a voter, a heartbeat, and the first entry of the new term.
	ExpectedElectionTime = time.Second
	// RequestAttemptTimeout is how long one attempt of a request waits for the leader.
	RequestAttemptTimeout = 500 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats of an idle leader; several fit into
	// ElectionTimeout.
	HeartbeatInterval = 80 * time.Millisecond
	// ElectionTimeout is the minimum time without contact to a leader after which a follower starts an
	// election.
	ElectionTimeout = 400 * time.Millisecond
	// ElectionTimeoutJitter is the maximum random addition to ElectionTimeout, so that two followers
	// rarely campaign at the same time.
	ElectionTimeoutJitter = 200 * time.Millisecond
	// LeaderLeaseFraction is the part of ElectionTimeout for which a leader's lease lasts after the
	// last answers of a majority; the rest covers drift between clocks.
	LeaderLeaseFraction = 0.85
	// QuorumLossTimeout is the time without contact to a majority after which a leader steps down.
	QuorumLossTimeout = 650 * time.Millisecond
)
