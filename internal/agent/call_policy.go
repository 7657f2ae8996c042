package agent

// Paths of the calls to a runner.
const (
	pathStart     = "/-/run-start"
	pathStop      = "/-/run-stop"
	pathKeepAlive = "/-/hold"
)

// callPolicy says what may be done after a call to the runner brought no answer:
// it may have been carried out, or may be seconds later, after newer calls.
type callPolicy struct {
	// Retryable: the same call may be made again at once. Otherwise the lists
	// are read first, by a poll sent after the call, and the call is made again
	// only if they don't show its effect.
	Retryable bool
	// Reason explains that, and what makes a late call harmless.
	Reason string
}

// callPolicies are the policies of the calls to a runner, by path.
var callPolicies = map[string]callPolicy{
	pathStart: {false, "the run may be there, or over; the same run is not started twice there, a late start is turned away " +
		"once the run ended, was stopped, its untilMs is past, or a higher fence was seen"},
	pathStop:      {false, "the run may have ended by itself, and how it ended is in the lists"},
	pathKeepAlive: {true, "untilMs never shortens, lastSeen never falls, and the lists are those of the moment of the answer"},
}
