package timing

import "time"

const (
	// MaxLeaseDuration is the longest lease that an agent asks for; a shorter maxHoldMs in the
	// settings takes precedence.
	MaxLeaseDuration = 3500 * time.Millisecond
	// LeaseRenewInterval is the time between two lease renewals of an agent.
	LeaseRenewInterval = 400 * time.Millisecond
	// LeaseClockDriftFactor is how much slower a clock may run than the others: by 2%.
	LeaseClockDriftFactor = 1.02
	// LeaseExpiryMargin is added before the leader regards a silent worker's leases as expired, for
	// killing runs and rounding.
	LeaseExpiryMargin = 250 * time.Millisecond
	// MaxRunLeaseAhead is how far ahead the untilMs sent to a runner may lie; the restart of an agent
	// must fit in.
	MaxRunLeaseAhead = 2200 * time.Millisecond
	// WorkerSilenceTimeout is the silence of an agent after which its worker gets no new tasks; two
	// renewals were lost by then.
	WorkerSilenceTimeout = 900 * time.Millisecond
)
