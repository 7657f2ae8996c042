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
)
