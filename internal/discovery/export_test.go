package discovery

// Constants for tests outside the package.
const (
	OperatorLeaderWait = operatorLeaderWait
	KnownNoLeaderWait  = knownNoLeaderWait
	LeaderWaitTimeout  = leaderWaitTimeout
	HangingDaemonWait  = hangingDaemonWait
)
