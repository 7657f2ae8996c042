package tuning

import "time"

// Counts that are merged over all daemons.
const (
	// DefaultShareWindow is the window in which a tenant's jobs are held against its
	// share, where the settings name none.
	DefaultShareWindow = 5 * time.Second
	// CountSlotWidth is the width of the slots in which events are counted: a window
	// is at most so much longer than it should be.
	CountSlotWidth = 500 * time.Millisecond
	// CountExchangeInterval is the time between two exchanges of a daemon that has
	// counted something.
	CountExchangeInterval = 500 * time.Millisecond
	// CountRefreshInterval is that time where it has counted nothing.
	CountRefreshInterval = 2 * time.Second
	// CountExchangeTimeout bounds one exchange.
	CountExchangeTimeout = 800 * time.Millisecond
	// CountAllowanceTime is for how long of its share a tenant may run ahead at one
	// daemon: two intervals, so that nothing within the share is held back if one
	// exchange is lost.
	CountAllowanceTime = time.Second
	// RateAllowanceTime is the same for a tenant's rate at a gateway, of which there may
	// be a hundred: what all admit ahead of each other must stay small beside the rate. A
	// daemon asks the leader when half of it is used, which takes some 20 ms.
	RateAllowanceTime = 250 * time.Millisecond
	// MinRateAllowance and MaxRateAllowance bound that, in requests.
	MinRateAllowance = 2.0
	MaxRateAllowance = 8.0
	// RateNewsWait is how long a request waits for the leader's answer once the
	// allowance is used up, and the least time after which a client may come again.
	RateNewsWait = 150 * time.Millisecond
	// RateAskFirst is the part of a tenant's limit from which on a request is admitted
	// by sums that are at most RateNewsAge old.
	RateAskFirst = 0.5
	RateNewsAge  = 100 * time.Millisecond
	// RateOldNewsAge is that age below it: two exchanges.
	RateOldNewsAge = time.Second
	// UrgentExchangeInterval is the least time between two exchanges.
	UrgentExchangeInterval = 50 * time.Millisecond
)
