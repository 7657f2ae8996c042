package tuning

import "time"

// Retention of jobs, and periodic work on the state.
const (
	// JobExpiryInterval is the time between two removals of expired jobs.
	JobExpiryInterval = 10 * time.Second
	// JobRetentionMargin is added to the setting status_s before a completed job
	// is forgotten.
	JobRetentionMargin = 60 * time.Second
	// GoneWorkerRetention is how long the row of a worker is kept that is dead, or
	// that announced its end and left. A late heartbeat of it is refused meanwhile;
	// agents forget incarnations after IncarnationRetention, and heartbeats come
	// seconds late at most.
	GoneWorkerRetention = 10 * time.Minute
	// RollupInterval is the time between two rebuilds of the usage rollups from
	// the bookings.
	RollupInterval = 5 * time.Minute
	// StatusSettleWait is how long a status request for a job whose last runs
	// are under way may wait for completions that are listed but not committed:
	// two commits.
	StatusSettleWait = 60 * time.Millisecond
)

// Backoff of workers that lose or refuse work.
const (
	// CrashBackoff is how long a runner that was lost a second time gets no
	// work. It doubles at each further loss, up to MaxCrashBackoff.
	CrashBackoff = 500 * time.Millisecond
	// MaxCrashBackoff is the upper bound of CrashBackoff. It is under 3 s, since
	// a job that waits so long beside free room counts as lost.
	MaxCrashBackoff = 2500 * time.Millisecond
	// CrashCountHalfLife is the time in which half of a loss is forgotten.
	CrashCountHalfLife = 8 * time.Second
	// StartRefusalExclusion is how long a worker that refused a start gets no
	// new work.
	StartRefusalExclusion = 300 * time.Millisecond
)
