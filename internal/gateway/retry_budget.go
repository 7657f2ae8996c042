package gateway

import (
	"time"
)

const (
	// defaultRetryWindow is the window in which retries are counted, where the settings name none.
	defaultRetryWindow = 10 * time.Second
	// retryShare is the part of the operators' retry ratio that a request earns; retries earned in one
	// window may be used in the next.
	retryShare = 0.5
	// retrySlackShare is the part of the operators' slack that the daemons share; the rest is for
	// daemons restarted within a window.
	retrySlackShare = 0.45
)

// RetryLimit is the operators' bound on attempts beyond the first of each request. It
// holds for all daemons together and for each service: Ratio times the requests of a
// Window plus Slack.
type RetryLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration // 0: defaultRetryWindow
}

// retryBudget is one daemon's part of a RetryLimit. It asks no other daemon, and yet all
// daemons together keep to the limit, whatever fails:
//
//   - Each request earns retryShare, one half, of Ratio. What isn't used lapses after
//     a window. So what all daemons use of it in a window was earned in this one or the one
//     before, and is at most Ratio times the larger of the two.
//   - Each daemon has a reserve for each window, its share of a part of Slack. The rest of
//     Slack is for daemons that start anew and have forgotten what they used.
type retryBudget struct {
	limit    RetryLimit
	reserve  int // attempts a window and service that need not be earned
	accounts map[string]*retryAccount
}

// retryAccount is what a daemon may use for one service.
type retryAccount struct {
	earned      []earnedAttempts // the oldest first
	reserveUsed []time.Time      // the oldest first
}

// earnedAttempts is what the requests of a short time earned and is not used yet.
type earnedAttempts struct {
	since time.Time
	left  float64
}

// budgetSlots is the number of parts of a window that are accounted for apart.
const budgetSlots = 20

func newRetryBudget(limit RetryLimit) *retryBudget {
	if limit.Window <= 0 {
		limit.Window = defaultRetryWindow
	}
	return &retryBudget{limit: limit, accounts: map[string]*retryAccount{}}
}

// setDaemons tells among how many daemons the slack is shared; 0: not known.
func (b *retryBudget) setDaemons(count int) {
	b.reserve = 0
	if count > 0 {
		b.reserve = int(b.limit.Slack * retrySlackShare / float64(count))
	}
}

// request counts a client's request for a service: it earns a part of a retry.
func (b *retryBudget) request(service string, now time.Time) {
	account := b.account(service, now)
	last := len(account.earned) - 1
	if last < 0 || now.Sub(account.earned[last].since) >= b.limit.Window/budgetSlots {
		account.earned = append(account.earned, earnedAttempts{since: now})
		last++
	}
	account.earned[last].left += b.limit.Ratio * retryShare
}

// take takes a retry; false if none is left.
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

// account returns a service's account, without what has lapsed.
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

// takeEarned takes one attempt of what was earned, the oldest first.
func (a *retryAccount) takeEarned() bool {
	// Sums of many small parts fall short of a whole by rounding.
	const wholeAttempt = 1 - 1e-9
	sum := 0.0
	for _, part := range a.earned {
		sum += part.left
	}
	if sum < wholeAttempt {
		return false
	}
	missing := 1.0
	for i := range a.earned {
		used := min(a.earned[i].left, missing)
		a.earned[i].left -= used
		missing -= used
	}
	return true
}
