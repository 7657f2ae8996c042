package tuning

import "time"

// Leases of workers, which the leader grants to agents and agents pass on to
// their runners.
const (
	// MaxLeaseDuration is the longest lease that an agent asks for; a shorter
	// maxHoldMs in the settings takes precedence. It is longer than an election
	// and short enough to free a lost worker's tasks soon.
	MaxLeaseDuration = 3500 * time.Millisecond
	// LeaseRenewInterval is the time between two lease renewals of an agent.
	LeaseRenewInterval = 400 * time.Millisecond
	// LeaseClockDriftFactor is how much slower a runner's clock may run: by 2%.
	LeaseClockDriftFactor = 1.02
	// LeaseExpiryMargin is added before the leader regards a silent worker's
	// leases as expired: killing runs and rounding take a moment.
	LeaseExpiryMargin = 250 * time.Millisecond
	// MaxRunLeaseAhead is how far ahead the untilMs sent to a runner may lie.
	// The work of a runner that falls silent is over as soon; the restart of an
	// agent, about a second, must fit in.
	MaxRunLeaseAhead = 2200 * time.Millisecond
	// RunLeaseExpiryMargin is added before an agent regards the work of its
	// silent runner as over.
	RunLeaseExpiryMargin = 100 * time.Millisecond
	// WorkerSilenceTimeout is the silence of an agent after which its worker
	// gets no new tasks. Two renewals were lost by then.
	WorkerSilenceTimeout = 900 * time.Millisecond
	// DefaultEvacuationTime is how soon after an order nothing is started in an evacuated
	// zone, where the settings don't say.
	DefaultEvacuationTime = 5 * time.Second
	// EvacuationGraceShare is the part of that time in which runs that were placed before
	// the order may still be started, so that gangs are not broken. The rest is for the
	// order's way to the replicas and agents, and for a start on its way.
	EvacuationGraceShare = 0.4
	// EvacuationAttempts is how often a daemon reads a zone's order and changes it,
	// where other orders about the zone come at the same time.
	EvacuationAttempts = 3
)
