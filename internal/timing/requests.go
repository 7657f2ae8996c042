package timing

import "time"

const (
	// MaxWatchWait is the longest time for which a watch is held; the caller asks again.
	MaxWatchWait = 30 * time.Second
	// ShutdownWaitFraction is the part of the setting graceS for which a daemon that was told to end
	// waits while the others need its vote.
	ShutdownWaitFraction = 0.4
	// SpeedSampleDecay is the time constant with which a sample of a worker's speed is forgotten.
	SpeedSampleDecay = 3 * time.Second
)
