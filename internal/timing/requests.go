package timing

import "time"

const (
	// MaxWatchWait is the maximum time for which a watch request is held open; the caller then repeats
	// it.
	MaxWatchWait = 30 * time.Second
	// ShutdownWaitFraction is the part of the setting graceS for which a daemon delays its shutdown
	// while the others need its vote.
	ShutdownWaitFraction = 0.4
	// SpeedSampleDecay is the time constant with which the weight of a sample of a worker's speed
	// decays.
	SpeedSampleDecay = 3 * time.Second
)
