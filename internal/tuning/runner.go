package tuning

import "time"

// An agent's calls to its runner.
const (
	// RunnerPollWait is the waitMs of a poll, which may be at most 2,000 ms.
	RunnerPollWait = 900 * time.Millisecond
	// RunnerIdlePollWait is the waitMs of a poll while nothing runs there.
	RunnerIdlePollWait = 2000 * time.Millisecond
	// OverdueRunPollWait is the waitMs of a poll while some run takes longer
	// than estimated.
	OverdueRunPollWait = 350 * time.Millisecond
	// RunnerPollSlack is added to waitMs for the way of a poll and its response.
	RunnerPollSlack = 300 * time.Millisecond
	// RunnerRequestTimeout is how long a start or stop waits for its response.
	// The runner is on the same machine, so silence means that the request was
	// lost.
	RunnerRequestTimeout = 250 * time.Millisecond
	// MaxConcurrentRunnerRequests is the number of requests to a runner that may
	// be under way at once.
	MaxConcurrentRunnerRequests = 4
	// MaxCompletionsListed is the number of completions that a runner lists at
	// most in one response, by the protocol. So long a list may be incomplete,
	// so it rules nothing out.
	MaxCompletionsListed = 500
)

// An agent's judgement of its runner and its runs.
const (
	// RunnerSilenceTimeout is the silence after which two unanswered requests
	// mean that the runner is gone, and not that they are late.
	RunnerSilenceTimeout = 350 * time.Millisecond
	// StalledRunTimeout is the least time without progress after which a run is
	// stopped.
	StalledRunTimeout = 450 * time.Millisecond
	// StalledRunnerExclusion is how long a runner with stalled runs is reported
	// as unhealthy.
	StalledRunnerExclusion = 2500 * time.Millisecond
	// MaxCompletedRunsKept is the number of completed runs that an agent
	// remembers before it forgets those that are committed and older than
	// CompletedRunRetention: the state starts them no more.
	MaxCompletedRunsKept = 512
	// IncarnationRetention is how long an agent remembers an incarnation of its
	// runner that ended or signed off. Heartbeats come seconds late at most.
	IncarnationRetention = 2 * time.Minute
	// CompletedRunRetention is how long a completed run is remembered at least.
	CompletedRunRetention = 30 * time.Second
	// DrainStopLead is added to the setting stopGraceMs: as long before a worker
	// leaves, what still runs there is stopped, so that its completion and its
	// checkpoint are listed in time.
	DrainStopLead = 350 * time.Millisecond
)
