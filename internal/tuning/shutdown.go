package tuning

import "time"

// Orderly shutdown of a daemon.
const (
	// ShutdownWaitFraction is the part of the setting graceS for which a daemon
	// that was told to end waits while the others need its vote. Requests under
	// way then have half of graceS, and the process must be gone before all of
	// it is over.
	ShutdownWaitFraction = 0.4
	// ShutdownWaitSlack is added to that time where the event loop itself may be
	// late.
	ShutdownWaitSlack = 200 * time.Millisecond
	// ShutdownPollInterval is the time between two requests for permission to
	// end.
	ShutdownPollInterval = 50 * time.Millisecond
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
