package tuning

import "time"

// Size of a plan, and the search for a worker.
const (
	// MaxTasksPerPlan is the number of tasks placed in one plan. It bounds the
	// time that planning takes.
	MaxTasksPerPlan = 600
	// UnplacedStepCost is what a step that finds no room counts towards
	// MaxTasksPerPlan, in tasks.
	UnplacedStepCost = 4
	// MaxReplans is how often a plan that lost a placement is planned again
	// within the same command.
	MaxReplans = 2
	// FullScanMaxWorkers is the number of workers of a service up to which all
	// of them are scored for each step. Above it an index gives the candidates.
	FullScanMaxWorkers = 96
	// MaxCandidates is the number of feasible workers scored above
	// FullScanMaxWorkers.
	MaxCandidates = 24
	// MaxBacklogPerCore is the work that may wait for each core of capacity. Above it
	// submitted jobs are refused, with a time to come back.
	MaxBacklogPerCore = 60 * time.Second
	// HeavyTenantFraction is the part of its quota above which a tenant's work comes
	// after that of tenants that use less, at the same priority and deadline class.
	HeavyTenantFraction = 0.85
	// FloodMemory is for how long after a refusal beyond its share a tenant's jobs
	// within the share are refused as well where they would miss their targets.
	FloodMemory = 3 * time.Second
	// MinBacklogBeyondShare is the work for each core, or for each core of its tenant's
	// quota, behind which a job beyond its tenant's share is accepted in any case: it is
	// what runs and waits for a moment on a quiet day.
	MinBacklogBeyondShare = 500 * time.Millisecond
)

// Room kept free for urgent work.
const (
	// DemandPeakDecay is the time constant with which a peak of urgent demand is
	// forgotten. Bursts last for seconds, and a long task blocks room for as
	// long.
	DemandPeakDecay = 15 * time.Second
	// LongTaskThreshold is the estimate from which a task leaves room to more
	// urgent ones. Shorter tasks free their room soon enough by themselves.
	LongTaskThreshold = 2 * time.Second
	// MaxIdleTime is how long a job of which nothing runs is held back for
	// foreseen urgent work. By the operators' rules it counts as lost after 3 s
	// beside room for it.
	MaxIdleTime = 1500 * time.Millisecond
	// MinLongTaskFraction is the part of the capacity that long tasks may use
	// whatever urgent demand is foreseen, so that they never starve.
	MinLongTaskFraction = 0.1
	// MinLateLongTaskFraction is that part for long tasks that would otherwise
	// miss their target.
	MinLateLongTaskFraction = 0.25
	// LongTaskFreeFraction is the part of the capacity up to which long tasks
	// may always fill it. It is above the half from which a waiting job counts
	// as lost.
	LongTaskFreeFraction = 0.6
)

// Preemption.
const (
	// PreemptionDelay is how long urgent work waits before it preempts other
	// runs. Its own kind frees room in as short a time.
	PreemptionDelay = 60 * time.Millisecond
	// PreemptionInterval is the time between two preemptions, since stopping
	// runs takes a moment.
	PreemptionInterval = 250 * time.Millisecond
	// MaxPreemptionLoss is the most unsaved work, as time, that a run may lose
	// by being preempted.
	MaxPreemptionLoss = 1500 * time.Millisecond
	// ExpectedReleaseFraction is the part of a priority's own room that becomes
	// free by itself before a preempted run would free its room.
	ExpectedReleaseFraction = 0.6
)
