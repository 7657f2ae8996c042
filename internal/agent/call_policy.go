package agent

// Paths of the calls to a runner.
const (
	pathStart     = "/-/run-start"
	pathStop      = "/-/run-stop"
	pathKeepAlive = "/-/hold"
)

// callPolicy defines what the agent may do after a call to the runner got no response: the call may
// have taken effect, or may take effect seconds later, after newer calls.
type callPolicy struct {
	// Retryable means that the same call may be sent again at once. Otherwise the lists of
	// running and completed runs are read first, by a poll sent after the call, and the call is sent
	// again only if they don't show its effect.
	Retryable bool
	// Reason explains the choice, and why a delayed call does no harm.
	Reason string
}

// callPolicies has the policies of the calls to a runner, by path.
var callPolicies = map[string]callPolicy{
	pathStart: {false, "the run may be running, or have ended; the runner starts a run once only, and rejects a " +
		"delayed start after the run ended or was stopped, after its untilMs, and after it has seen a higher fence"},
	pathStop:      {false, "the run may have ended by itself, and how it ended is in the lists"},
	pathKeepAlive: {true, "untilMs never shortens, lastSeen never falls, and the lists are current as of the response"},
}
