package tuning

import "time"

// Finding the leader.
const (
	// DiscoveryFanout is the number of daemons that an agent asks in one search
	// for the leader. Three searches reach all of a cluster of eight.
	DiscoveryFanout = 4
	// DiscoveryInterval is the time between two searches.
	DiscoveryInterval = 80 * time.Millisecond
	// DiscoveryStragglerWait is how long a search waits for daemons that hang
	// once others have answered. Zones are milliseconds apart.
	DiscoveryStragglerWait = 150 * time.Millisecond
	// MaxShortDiscoveryRounds is the number of consecutive searches that wait no
	// longer than DiscoveryStragglerWait, about two seconds of them. An election
	// is over by then, and each hanging daemon costs a connection.
	MaxShortDiscoveryRounds = 6
	// NoLeaderFindingTTL is how long the result of a search of all daemons that
	// found no leader stays valid. It is above the time of a search and the
	// pause after it.
	NoLeaderFindingTTL = 1500 * time.Millisecond
	// LeaderProbeInterval is the silence of the leader's connection after which
	// it is probed.
	LeaderProbeInterval = 250 * time.Millisecond
	// ExpectedElectionTime is how long an ordinary election leaves a cluster
	// without a leader: a voter's longest timeout, a heartbeat, and the first
	// entry of the new term.
	ExpectedElectionTime = time.Second
)

// Requests to the leader.
const (
	// RequestAttemptTimeout is how long one attempt of a request waits for the
	// leader. A commit takes tens of milliseconds, so longer silence means that
	// the leader is in trouble.
	RequestAttemptTimeout = 500 * time.Millisecond
	// MaxRequestAttemptTimeout is that bound for a leader that keeps answering
	// other requests. By then this one was lost on its way.
	MaxRequestAttemptTimeout = 2 * time.Second
	// MinLinkBytesPerSecond is the slowest rate of a link, in bytes a second, at
	// which a large request or response isn't taken for silence: half of a link
	// of 2 Mbit/s, the rest being left to others.
	MinLinkBytesPerSecond = 125_000
	// LeaderWaitTimeout is how long a client's request waits for a leader before
	// it is refused. An election takes about as long.
	LeaderWaitTimeout = 1300 * time.Millisecond
	// KnownNoLeaderWait is that time while it is known that no leader can be
	// reached: a search or two after a restart of all daemons.
	KnownNoLeaderWait = 250 * time.Millisecond
	// OperatorLeaderWait is how long an operator's request waits for a leader.
	// Operators turn to the next daemon after a second of silence, the way there
	// and back included.
	OperatorLeaderWait = 500 * time.Millisecond
)
