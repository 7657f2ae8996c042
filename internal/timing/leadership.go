package timing

import "time"

const (
	// ExpectedElectionTime is how long an ordinary election leaves a cluster without a leader: a
	// voter's longest timeout, a heartbeat, and the first entry of the new term.
	ExpectedElectionTime = time.Second
	// RequestAttemptTimeout is how long one attempt of a request waits for the leader.
	RequestAttemptTimeout = 500 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats of an idle leader; several fit into
	// ElectionTimeout.
	HeartbeatInterval = 80 * time.Millisecond
	// ElectionTimeout is the shortest silence of the leader after which a follower starts an election.
	ElectionTimeout = 400 * time.Millisecond
	// ElectionTimeoutJitter is the most that is added to ElectionTimeout at random, so that two
	// followers rarely campaign together.
	ElectionTimeoutJitter = 200 * time.Millisecond
	// LeaderLeaseFraction is the part of ElectionTimeout during which a leader relies on the last
	// answers of a majority; the rest covers drift between clocks.
	LeaderLeaseFraction = 0.85
	// QuorumLossTimeout is the silence of a majority after which a leader steps down.
	QuorumLossTimeout = 650 * time.Millisecond
)
