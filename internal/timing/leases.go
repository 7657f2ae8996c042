package timing

import "time"

const (
	// MaxLeaseDuration is the longest lease that an agent requests; a shorter maxHoldMs in the
	// settings takes precedence.
	MaxLeaseDuration = 3500 * time.Millisecond
	// LeaseRenewInterval is the time between two lease renewals of an agent.
	LeaseRenewInterval = 400 * time.Millisecond
	// LeaseClockDriftFactor allows for clocks that run up to 2% slower than others.
	LeaseClockDriftFactor = 1.02
	// LeaseExpiryMargin is how much longer the leader waits before it regards the leases of a silent
	// worker as expired. It covers the time to kill runs, and rounding.
	LeaseExpiryMargin = 250 * time.Millisecond
	// MaxRunLeaseAhead is how far in the future the untilMs sent to a runner may be; the restart of an
	// agent must fit into it.
	MaxRunLeaseAhead = 2200 * time.Millisecond
	// WorkerSilenceTimeout is the time without contact to an agent after which its worker gets no new
	// tasks; two renewals were lost by then.
	WorkerSilenceTimeout = 900 * time.Millisecond
)
