package tuning

import "time"

// Orderly shutdown of a daemon.
const (
	// ShutdownWaitFraction is the part of the setting graceS for which a daemon
	// that was told to end waits while the others need its vote.
	ShutdownWaitFraction = 0.4
	// ShutdownRefuseFraction is the part of graceS after which a daemon that leaves
	// begins no request any more: operators excuse a cut at the end only for requests
	// that were sent in the first half.
	ShutdownRefuseFraction = 0.45
	// ShutdownAnswerFraction is the part of graceS within which requests are answered.
	// Operators excuse a cut where a runner is at work in the last sixth, and the process
	// must be gone before all of graceS is over.
	ShutdownAnswerFraction = 0.92
	// ShutdownCutFraction is the part of graceS that handlers then have for a last answer.
	ShutdownCutFraction = 0.03
	// ShutdownNotice is for how long a daemon that leaves tells its clients so with each
	// answer before it closes their connections: a client that sends twice a second hears
	// of it.
	ShutdownNotice = 500 * time.Millisecond
	// ShutdownCheckInterval is how often a daemon that leaves looks at what is open.
	ShutdownCheckInterval = 20 * time.Millisecond
	// LastAcceptTime is how long connections are accepted that wait for it as a daemon
	// closes its listener.
	LastAcceptTime = 10 * time.Millisecond
	// LastRequestWait is how long a connection of a daemon that leaves may wait for a
	// request: the first one of a new connection is a way there behind it.
	LastRequestWait = 60 * time.Millisecond
	// ShutdownWaitSlack is added to that time where the event loop itself may be
	// late.
	ShutdownWaitSlack = 200 * time.Millisecond
	// ShutdownPollInterval is the time between two requests for permission to
	// end.
	ShutdownPollInterval = 50 * time.Millisecond
	// ShutdownRenewInterval is the time between two messages of a server that may end and
	// still answers requests. A new leader knows after two of them who ends.
	ShutdownRenewInterval = 250 * time.Millisecond
	// LeadershipTransferTimeout is how long a leader that ends waits for another
	// one to take over.
	LeadershipTransferTimeout = 300 * time.Millisecond
	// ShutdownReleasePeriod is how long a voter that may end counts as gone, though it
	// is still heard: it ends and is started again within a second or two. Another
	// waits meanwhile if too few would stay, and ShutdownWaitFraction bounds that.
	ShutdownReleasePeriod = 2 * time.Second
	// ShutdownExclusionPeriod is how long a daemon that announced its end is
	// appointed to nothing.
	ShutdownExclusionPeriod = 5 * time.Second
)

// The close of a connection whose client has not received all of its answer.
const (
	// MaxLingerTime is how long a connection is kept for it at most: above the time that
	// clients take to read large answers through a slow link.
	MaxLingerTime = 5 * time.Second
	// LingerPollInterval is how often it is looked at.
	LingerPollInterval = 10 * time.Millisecond
)
