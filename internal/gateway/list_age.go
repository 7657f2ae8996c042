package gateway

import "time"

// listAgeLimit bounds the age of what a daemon knows when it chooses a runner. Updates of
// runners that leave may come late, where clients fill a daemon's link; then it chooses
// among those that it has heard itself.
type listAgeLimit struct {
	most    time.Duration // 0: no limit
	inTouch time.Duration // for how long after a question without an answer it doesn't hold
}

// listAge is what a daemon knows of the age of its list of runners.
type listAge struct {
	limit listAgeLimit
	asOf  time.Time // the list misses no change before it; zero: that isn't known
	// failedAt is when a question for changes last had no answer. No leader was reached
	// then, and the operators' bound holds for daemons that are in touch with one.
	failedAt time.Time
}

// allows reports whether any runner of the list may be chosen.
func (a *listAge) allows(now time.Time) bool {
	return a.limit.most == 0 || a.asOf.IsZero() || now.Sub(a.asOf) <= a.limit.most || now.Sub(a.failedAt) <= a.limit.inTouch
}

// confirm records that the list misses no change before a time.
func (a *listAge) confirm(asOf time.Time) {
	if asOf.After(a.asOf) {
		a.asOf = asOf
	}
}

// known returns those of the runners that are known not to leave for too long: all, if the
// list is young enough, or else those that have answered lately.
func (b *balancer) known(runners []*runnerState, now time.Time) []*runnerState {
	if b.listAge.allows(now) {
		return runners
	}
	var heard []*runnerState
	for _, runner := range runners {
		if now.Sub(runner.servedAt) <= b.listAge.limit.most {
			heard = append(heard, runner)
		}
	}
	return heard
}

// noteServing records that the runner didn't leave yet at a time.
func (r *runnerState) noteServing(at time.Time) {
	if at.After(r.servedAt) {
		r.servedAt = at
	}
}
