package discovery

// Constants exported for tests in package discovery_test.
const (
	OperatorLeaderWait    = operatorLeaderWait
	KnownNoLeaderWait     = knownNoLeaderWait
	LeaderWaitTimeout     = leaderWaitTimeout
	ShortStragglerTimeout = shortStragglerTimeout
)
