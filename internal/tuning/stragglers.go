package tuning

import "time"

// Speed of workers.
const (
	// SpeedSampleDecay is the time constant with which a sample of a worker's
	// speed is forgotten.
	SpeedSampleDecay = 3 * time.Second
	// SlowWorkerFactor is the slowdown from which tasks that would miss their
	// target on a worker pass it over.
	SlowWorkerFactor = 2.0
	// MinPaceSiblings is the least number of other runs of its step that a run
	// is compared with.
	MinPaceSiblings = 3
	// MinPaceSampleWeight is the number of such runs, decayed over
	// SpeedSampleDecay, from which they tell a worker's pace.
	MinPaceSampleWeight = 1.5
	// HealthyPaceLimit is the pace up to which a worker is known to be healthy.
	HealthyPaceLimit = 1.5
	// SlowPaceDeviations is how many standard deviations of its mean a worker's
	// pace must be above the usual one to prove that it is slow. Where tasks of a
	// step differ by ten times, 1,834 of 1,852 copies of a calm day were of runs on
	// workers that only seemed slow; 5 of them ended first.
	SlowPaceDeviations = 2.0
	// InitialPaceDeviation is the standard deviation of the logarithm of runs of a
	// step, before it is learnt of a route; MinPaceDeviation and MaxPaceDeviation
	// bound what is learnt: tasks that differ by a tenth, and by ten times.
	InitialPaceDeviation = 0.5
	MinPaceDeviation     = 0.1
	MaxPaceDeviation     = 1.5
	// HealthyWorkerDelayFactor is how many times as late a run on a healthy
	// worker must be before it gets a copy. Of 1,928 copies on a calm day 8
	// ended first.
	HealthyWorkerDelayFactor = 3.0
)

// Speculative copies of late runs.
const (
	// MinStragglerFactor is how many times its usual duration a run may take
	// before it gets a copy, where its step allows that.
	MinStragglerFactor = 2.0
	// InitialStragglerFactor is that factor while only a rough estimate of the
	// duration is known, and nothing was learnt of the route.
	InitialStragglerFactor = 4.0
	// MaxStragglerFactor is the upper bound of a route's learnt factor.
	MaxStragglerFactor = 12.0
	// StragglerFraction is the part of a route's runs that its learnt factor
	// leaves above itself.
	StragglerFraction = 0.03
	// StragglerLearningRate is by how much one run changes the learnt factor, as
	// a part of it.
	StragglerLearningRate = 0.02
	// MinStragglerAge is the least age of a run that gets a copy.
	MinStragglerAge = 250 * time.Millisecond
	// StragglerCheckInterval is the least time between two checks of a run that
	// isn't about to be late. An idle leader plans as often.
	StragglerCheckInterval = 80 * time.Millisecond
	// MinStragglerCheckInterval is the least time between two checks of a run
	// that is about to be late.
	MinStragglerCheckInterval = 10 * time.Millisecond
)
