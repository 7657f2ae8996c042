package tuning

import "time"

// Clocks of the log: the state's clock and the wall clock that leaders stamp on entries.
const (
	// ClockSlewRate is how fast a clock follows a source that it isn't sure of, in
	// seconds a second. A step of a time of day that lasts for 50 s moves the cluster's
	// wall clock by 0.25 s, which is as early as operators let a periodic run start
	// (early_ms); the oscillator of a machine drifts by a hundredth of it.
	ClockSlewRate = 0.005
	// ClockStepTolerance is by how much a time of day may be off the estimate and still
	// count as drift. It is above the error of a reading over the network.
	ClockStepTolerance = 100 * time.Millisecond
	// ClockStepHold is how long the members' readings must be off the cluster's wall
	// clock, without a break and to the same side, before they are taken over. Times of
	// day that jump for some seconds are back by then; after an outage of all servers
	// periodic runs are late for so long, by at most the length of the outage.
	ClockStepHold = 10 * time.Second
	// ClockWindow is for how long a follower uses a reading of the leader's clock.
	ClockWindow = 5 * time.Second
)
