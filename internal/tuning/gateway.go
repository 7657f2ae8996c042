package tuning

import "time"

// The platform's list of runners.
const (
	// MaxPlatformReadInterval is the longest time between two readings of the list, and
	// the time where the settings don't say how long a runner that leaves serves on.
	MaxPlatformReadInterval = 1200 * time.Millisecond
	// MinPlatformReadInterval is the shortest. Each page has a price.
	MinPlatformReadInterval = 350 * time.Millisecond
	// PlatformNewsTime is what is left of a leaving runner's time, after the list's lag
	// and one interval, for a reading, its news and a request on its way: a daemon's link
	// may hold the last two up by 0.3 s each.
	PlatformNewsTime = time.Second
	// RequestTransitReserve is what is left of a leaving runner's time for a request on
	// its way to it.
	RequestTransitReserve = 300 * time.Millisecond
	// ClientReceiveBuffer is how many bytes of a client's body may be on their way to a
	// gateway or unread there. Twenty bodies at once then hold less than a second of a link
	// of 3.6 Mbit/s; one alone fills it, at a round trip of 6 ms.
	ClientReceiveBuffer = 8 << 10
	// WideScopeTime is for how long a daemon goes on asking for the runners of all zones
	// after a service had none in its own: each change of scope is told whole.
	WideScopeTime = 10 * time.Second
	// MinListAge is the least age at which a list of runners counts as old, whatever the
	// settings say.
	MinListAge = 500 * time.Millisecond
	// BusyReadFraction is the part of the interval after which the list is read while
	// it changes: runners mostly leave one after the other.
	BusyReadFraction = 0.5
	// PlatformRateShare is the part of the platform's rate that its reader uses. For a
	// moment after a change of leader there may be two.
	PlatformRateShare = 0.45
	// PlatformPageAttempts is how often a page is asked for that the platform refuses
	// for its rate, and PlatformRatePause the pause between two.
	PlatformPageAttempts = 6
	PlatformRatePause    = 250 * time.Millisecond
	// BusyReadTime is how long after a change the list counts as changing.
	BusyReadTime = 5 * time.Second
	// PlatformBackoff is the pause after a reading that failed.
	PlatformBackoff = 700 * time.Millisecond
	// PlatformCallTimeout bounds one call.
	PlatformCallTimeout = 2 * time.Second
	// PlatformIdleTimeout is how long a connection is kept between two readings.
	PlatformIdleTimeout = 30 * time.Second
	// MaxPlatformPages bounds one reading.
	MaxPlatformPages = 1000
	// MaxPlatformPageBytes bounds one page.
	MaxPlatformPageBytes = 4 << 20
	// RunnerWatchWait is how long the leader holds a question for changes of the
	// list. It is below RequestAttemptTimeout, after which a leader seems to be in
	// trouble.
	RunnerWatchWait = 350 * time.Millisecond
	// RunnerWatchTimeout bounds one question.
	RunnerWatchTimeout = 3 * time.Second
	// GatewayAttemptTimeout is how long a gateway's request waits for the leader. Its
	// link may be full of clients' bodies for half a second each way, and to connect
	// anew would take as long again.
	GatewayAttemptTimeout = 1200 * time.Millisecond
	// GatewayProbeTimeout is how long a gateway waits for a daemon to say who leads: as
	// long, for the same reason.
	GatewayProbeTimeout = time.Second
	// RunnerWatchRetry is the pause after a question that brought no answer.
	RunnerWatchRetry = 100 * time.Millisecond
)

// Requests through the gateway.
const (
	// RunnerIdleTimeout is how long a connection to a runner is kept idle. Runners
	// close theirs after ten seconds or more.
	RunnerIdleTimeout = 7 * time.Second
	// RunnerDialTimeout bounds the opening of a connection to a runner.
	RunnerDialTimeout = time.Second
	// GatewayResponseReserve is the part of a client's time that is left for the
	// answer's way back.
	GatewayResponseReserve = 30 * time.Millisecond
	// UnreadAnswerTime is how long after the end of a client's time its daemon goes on to
	// write an answer that the client doesn't read.
	UnreadAnswerTime = time.Second
	// MaxGatewayTime is the time that a request has if its client names none, and the
	// most that it has.
	MaxGatewayTime = 60 * time.Second
	// MaxReplayBytes is how much of a request's body is kept for another attempt,
	// in bytes.
	MaxReplayBytes = 512 << 10
	// LatencySmoothing is the weight of a new latency in a runner's average.
	LatencySmoothing = 0.2
	// LeavingSuspicion is for how long a runner is left out that closes its connection
	// after an answer, as those do that leave, and at times others. The list tells
	// by then.
	LeavingSuspicion = 1500 * time.Millisecond
	// EjectionFailures is the number of failures in a row that eject a runner.
	EjectionFailures = 2
	// EjectionTime is for how long a runner is ejected first; it doubles each time,
	// up to MaxEjectionTime.
	EjectionTime = 500 * time.Millisecond
	// MaxEjectionTime bounds EjectionTime.
	MaxEjectionTime = 8 * time.Second
	// MaxEjectedFraction is the part of a service's runners that may be ejected.
	MaxEjectedFraction = 0.5
	// DefaultRetryWindow is the window in which further attempts are counted, where
	// the settings name none.
	DefaultRetryWindow = 10 * time.Second
	// RetryShare is the part of the operators' ratio of further attempts that a
	// request earns. Attempts may be used for a window after they were earned, so
	// those of two windows may come together.
	RetryShare = 0.5
	// RetrySlackShare is the part of the operators' slack that the daemons share out
	// among them. As much again is for daemons that were started again in a window.
	RetrySlackShare = 0.45
	// KeyTrustShare is the part of the time within which a key that was taken away must
	// be refused by all daemons, for which one is served without word from the leader.
	// Operators owe nothing at daemons without a way to the core for 0.6 of it; the
	// rest is for requests on their way and for clocks that differ.
	KeyTrustShare = 0.8
	// HealthEntriesPerS is how many entries of runners' health the leader tells all
	// daemons together in a second: a tenth of its processor on the bench's machines.
	HealthEntriesPerS = 15_000
	// AnnouncedSilenceIntervals is how many intervals of heartbeats a runner that no
	// platform lists may be silent before it is taken off the list.
	AnnouncedSilenceIntervals = 3
	// AnnouncedRunnersSlack is how much longer than one interval a new leader waits for
	// heartbeats before it publishes a list: they come late and go to another daemon
	// after a second.
	AnnouncedRunnersSlack = 500 * time.Millisecond
	// MinRunnerHeartbeatInterval is that interval where the settings name none.
	MinRunnerHeartbeatInterval = 500 * time.Millisecond
	// AnnouncementTimeout bounds the way of a heartbeat to the leader: the runner turns
	// to another daemon after a second.
	AnnouncementTimeout = 800 * time.Millisecond
	// StartupWait is how long a request waits in a daemon that has no configuration or
	// list of runners yet. After a restart of all daemons an election and the first
	// reading of the list take half a second.
	StartupWait = 800 * time.Millisecond
	// StartupRetryAfter is the time after which a client may try again that came to
	// such a daemon.
	StartupRetryAfter = 300 * time.Millisecond
	// RefusedRetryAfter is the time after which a client may try again that found no
	// runner.
	RefusedRetryAfter = 150 * time.Millisecond
)
