package tuning

import "time"

// Requests of clients. The defaults hold until a configuration sets limits.
const (
	// DefaultRequestBudget is the time that a client's request has if it names
	// none.
	DefaultRequestBudget = 3 * time.Second
	// ResponseReserve is subtracted from that time so that the response arrives
	// within it.
	ResponseReserve = 40 * time.Millisecond
	// DefaultMaxBodyBytes is the size of the largest body, in bytes.
	DefaultMaxBodyBytes = 262144
	// DefaultMaxHeaderBytes is the size of all headers together, in bytes.
	DefaultMaxHeaderBytes = 16384
	// MaxHeaderBytes is how many bytes of headers the HTTP server reads,
	// whatever a configuration allows.
	MaxHeaderBytes = 64 << 10
	// MaxJobSpecBytes is the length of the longest jobSpec, in bytes, by the
	// protocol.
	MaxJobSpecBytes = 4000
	// DefaultHeaderTimeout is how long the headers of a request may take.
	DefaultHeaderTimeout = 3 * time.Second
	// DefaultIdleTimeout is how long an idle connection of a client stays open.
	DefaultIdleTimeout = 15 * time.Second
	// MaxAnswerTime is the longest time from the head of a request to the end of its answer,
	// except at gateways: above MaxWatchWait, for which an answer may be held.
	MaxAnswerTime = time.Minute
	// LimitsRequestTimeout is how long a request for the current limits waits
	// for the leader. Another one follows soon.
	LimitsRequestTimeout = 2 * time.Second
)

// Requests of operators.
const (
	// MaxControlBodyBytes is the size of the largest body of an operator's
	// request, in bytes: 4 MiB by the protocol.
	MaxControlBodyBytes = 4 << 20
	// ControlRequestTimeout is how long an operator's request may take. Operators
	// turn to another daemon after a second, in which the response must arrive.
	ControlRequestTimeout = 850 * time.Millisecond
	// ControlRequestTimeoutPerKB is added to ControlRequestTimeout for each KB of
	// a configuration. Operators are more patient with large ones, and checking
	// 1,000 routes (190 KB) takes about 90 ms of a whole core.
	ControlRequestTimeoutPerKB = 2 * time.Millisecond
	// ControlLeaderWait is how long an operator's request waits for a leader
	// before it is refused. Most elections that are under way end in it, and the
	// operator can still turn to another daemon within the second.
	ControlLeaderWait = 500 * time.Millisecond
	// IsolatedControlLeaderWait is that time on a daemon that reached no leader
	// for LeaderContactTimeout: one search for it.
	IsolatedControlLeaderWait = 150 * time.Millisecond
	// MinRedirectBodyBytes is the size of a configuration, in bytes, from which
	// a daemon without a disk redirects the operator to the leader rather than
	// forward the body. On a link of 2 Mbit/s as much takes an eighth of a
	// second each way.
	MinRedirectBodyBytes = 32 << 10
)
