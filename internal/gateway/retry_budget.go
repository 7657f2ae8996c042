package gateway

import (
	"time"
)

const (
	// defaultRetryWindow is the window in which retries are counted if the settings specify
	// none.
	defaultRetryWindow = 10 * time.Second
	// retryShare is the fraction of the operator's retry ratio that a request earns. Retries
	// earned in one window may be used in the next.
	retryShare = 0.5
	// retrySlackShare is the fraction of the operator's slack that is divided among the
	// daemons. The rest covers daemons restarted within a window.
	retrySlackShare = 0.45
)

// RetryLimit is the operator's limit on attempts after the first of each request. It applies
// to all daemons together and to each service separately: Ratio times the requests of a
// Window, plus Slack.
type RetryLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration // 0: defaultRetryWindow
}

// retryBudget is one daemon's share of a RetryLimit. It needs no communication with other
// daemons, and all daemons together stay within the limit under any failure:
//
//   - Each request earns retryShare, one half, of Ratio. Unused retries expire after a window.
//     The retries that all daemons take from this in a window were earned in that window or the
//     one before, and are at most Ratio times the larger of the two request counts.
//   - Each daemon has a reserve for each window, its share of a part of Slack. The rest of
//     Slack covers daemons that restart and lose their record of the retries they used.
type retryBudget struct {
	limit    RetryLimit
	reserve  int // retries per window and service that need not be earned
	accounts map[string]*retryAccount
}

// retryAccount holds the retries that a daemon may use for one service.
type retryAccount struct {
	earned      []earnedRetries // oldest first
	reserveUsed []time.Time     // oldest first
}

// earnedRetries holds the unused retries that requests earned within one slot of the window.
type earnedRetries struct {
	since     time.Time
	remaining float64
}

// budgetSlots is the number of slots into which a window is divided for accounting.
const budgetSlots = 20

func newRetryBudget(limit RetryLimit) *retryBudget {
	if limit.Window <= 0 {
		limit.Window = defaultRetryWindow
	}
	return &retryBudget{limit: limit, accounts: map[string]*retryAccount{}}
}

// setDaemons sets the number of daemons that share the slack; 0 means unknown.
func (b *retryBudget) setDaemons(count int) {
	b.reserve = 0
	if count > 0 {
		b.reserve = int(b.limit.Slack * retrySlackShare / float64(count))
	}
}

// recordRequest counts a client's request to a service, which earns a fraction of a retry.
func (b *retryBudget) recordRequest(service string, now time.Time) {
	account := b.account(service, now)
	last := len(account.earned) - 1
	if last < 0 || now.Sub(account.earned[last].since) >= b.limit.Window/budgetSlots {
		account.earned = append(account.earned, earnedRetries{since: now})
		last++
	}
	account.earned[last].remaining += b.limit.Ratio * retryShare
}

// take consumes a retry and reports whether one was available.
func (b *retryBudget) take(service string, now time.Time) bool {
	account := b.account(service, now)
	if account.takeEarned() {
		return true
	}
	if len(account.reserveUsed) >= b.reserve {
		return false
	}
	account.reserveUsed = append(account.reserveUsed, now)
	return true
}

// account returns the account of a service after removing expired entries.
func (b *retryBudget) account(service string, now time.Time) *retryAccount {
	account := b.accounts[service]
	if account == nil {
		account = &retryAccount{}
		b.accounts[service] = account
	}
	for len(account.earned) > 0 && now.Sub(account.earned[0].since) >= b.limit.Window {
		account.earned = account.earned[1:]
	}
	for len(account.reserveUsed) > 0 && now.Sub(account.reserveUsed[0]) > b.limit.Window {
		account.reserveUsed = account.reserveUsed[1:]
	}
	return account
}

// takeEarned consumes one earned retry, using the oldest entries first.
func (a *retryAccount) takeEarned() bool {
	// Sums of many small fractions fall short of 1 through rounding.
	const wholeRetry = 1 - 1e-9
	sum := 0.0
	for _, part := range a.earned {
		sum += part.remaining
	}
	if sum < wholeRetry {
		return false
	}
	needed := 1.0
	for i := range a.earned {
		used := min(a.earned[i].remaining, needed)
		a.earned[i].remaining -= used
		needed -= used
	}
	return true
}
