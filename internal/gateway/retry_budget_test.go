package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestRetryBudgetStaysWithinLimit checks that daemons that do not communicate, are killed and
// restarted, and use all available retries at once stay within the operator's limit together
// in every window.
func TestRetryBudgetStaysWithinLimit(t *testing.T) {
	retries := 0
	for seed := range uint64(60) {
		run := newRetryRun(rand.New(rand.NewPCG(seed, 1)))
		run.simulate()
		if most, allowed := run.worstWindow(); most > allowed {
			t.Errorf("seed %d: %d daemons made %v retries in a window, want at most %v", seed, len(run.budgets), most, allowed)
		}
		retries += len(run.retries)
	}
	if retries < 10_000 {
		t.Errorf("%d retries in total, too few for a meaningful result", retries)
	}
}

// retryRun is a random simulation of the budgets of several daemons.
type retryRun struct {
	random    *rand.Rand
	limit     RetryLimit
	budgets   []*retryBudget
	startedAt []time.Time
	requests  []time.Time // to the service, sorted
	retries   []time.Time // sorted too
}

func newRetryRun(random *rand.Rand) *retryRun {
	run := &retryRun{random: random, limit: RetryLimit{Ratio: 0.05 + random.Float64()/4, Slack: random.Float64() * 300, Window: 10 * time.Second}}
	run.startedAt = make([]time.Time, 1+random.IntN(100))
	for range run.startedAt {
		run.budgets = append(run.budgets, run.newBudget())
	}
	return run
}

func (r *retryRun) newBudget() *retryBudget {
	budget := newRetryBudget(r.limit)
	budget.setDaemons(len(r.startedAt))
	return budget
}

// simulate runs for six windows. Requests arrive at a changing rate, and at some times all
// daemons retry as often as they may.
func (r *retryRun) simulate() {
	const step = 50 * time.Millisecond
	rate, greedy := 1.0, 0.0
	for now := testStart; now.Before(testStart.Add(6 * r.limit.Window)); now = now.Add(step) {
		if r.random.IntN(60) == 0 {
			rate, greedy = r.random.Float64()*8, float64(r.random.IntN(2))
		}
		for range int(rate * r.random.Float64() * 2) {
			r.requests = append(r.requests, now)
			r.budgets[r.random.IntN(len(r.budgets))].recordRequest("s", now)
		}
		for i, budget := range r.budgets {
			// A daemon restarts at most once per window.
			if r.random.IntN(150) == 0 && now.Sub(r.startedAt[i]) > r.limit.Window {
				r.budgets[i], r.startedAt[i] = r.newBudget(), now
				budget = r.budgets[i]
			}
			for r.random.Float64() < greedy && budget.take("s", now) {
				r.retries = append(r.retries, now)
			}
		}
	}
}

// worstWindow returns the window that comes closest to the limit or exceeds it most: its
// retries and the number allowed. The request count is the largest of that window, the one
// before it and the one half a window earlier.
func (r *retryRun) worstWindow() (most, allowed float64) {
	allowed = r.limit.Slack
	for _, from := range r.retries {
		requests := 0
		for _, shift := range []time.Duration{0, r.limit.Window / 2, r.limit.Window} {
			requests = max(requests, countWithin(r.requests, from.Add(-shift), r.limit.Window))
		}
		made := float64(countWithin(r.retries, from, r.limit.Window))
		bound := r.limit.Ratio*float64(requests) + r.limit.Slack
		if made-bound > most-allowed {
			most, allowed = made, bound
		}
	}
	return most, allowed
}

// countWithin counts the times of a sorted list that fall within a window.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	after, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return after - first
}

// TestRetryBudget checks how many retries requests earn, when they expire, and the reserve.
func TestRetryBudget(t *testing.T) {
	const window = 10 * time.Second
	takeAll := func(b *retryBudget, now time.Time) int {
		taken := 0
		for b.take("s", now) {
			taken++
		}
		return taken
	}
	for _, c := range []struct {
		name               string
		requests, daemons  int
		idle               time.Duration
		want, afterAWindow int
	}{
		{"nothing earned, daemon count unknown", 0, 0, 0, 0, 0},
		{"reserve only", 0, 10, 0, 9, 9},
		{"reserve divided among too many daemons", 0, 1000, 0, 0, 0},
		{"earned", 200, 0, 0, 20, 0},
		{"earned within the window", 200, 0, window - time.Second, 20, 0},
		{"earned and expired", 200, 0, window, 0, 0},
		{"earned and reserve", 200, 10, 0, 29, 9},
	} {
		b := newRetryBudget(RetryLimit{Ratio: 0.2, Slack: 200, Window: window})
		b.setDaemons(c.daemons)
		for range c.requests {
			b.recordRequest("s", testStart)
		}
		now := testStart.Add(c.idle)
		if got := takeAll(b, now); got != c.want {
			t.Errorf("%s: %d retries, want %d", c.name, got, c.want)
		}
		if got := takeAll(b, now.Add(window)); got != 0 {
			t.Errorf("%s: %d retries at the end of the window, want none", c.name, got)
		}
		if got := takeAll(b, now.Add(window+time.Millisecond)); got != c.afterAWindow {
			t.Errorf("%s: %d retries after a window, want %d", c.name, got, c.afterAWindow)
		}
	}
}
