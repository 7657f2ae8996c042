package gateway

import "time"

// listAgeLimit limits the age of the runner list that may be used for choosing a runner.
// Updates about runners that are shutting down can be delayed when clients saturate the
// daemon's link. The daemon then chooses only among runners that responded to it recently.
type listAgeLimit struct {
	maxAge      time.Duration // 0: no limit
	outageGrace time.Duration // after a failed query the limit does not apply for this long
}

// listAge tracks the age of a daemon's runner list.
type listAge struct {
	limit listAgeLimit
	asOf  time.Time // the list contains all changes before this time; zero: unknown
	// lastFailureAt is when a query for changes last failed. No leader was reachable then, and
	// the operator's limit applies only to daemons in contact with a leader.
	lastFailureAt time.Time
}

// allowsAll reports whether every runner of the list may be chosen.
func (a *listAge) allowsAll(now time.Time) bool {
	return a.limit.maxAge == 0 || a.asOf.IsZero() || now.Sub(a.asOf) <= a.limit.maxAge ||
		now.Sub(a.lastFailureAt) <= a.limit.outageGrace
}

// confirm records that the list contains all changes before asOf.
func (a *listAge) confirm(asOf time.Time) {
	if asOf.After(a.asOf) {
		a.asOf = asOf
	}
}

// usable returns the runners that cannot have been shutting down for too long: all of them if
// the list is recent enough, otherwise those that responded recently.
func (b *balancer) usable(runners []*runnerState, now time.Time) []*runnerState {
	if b.listAge.allowsAll(now) {
		return runners
	}
	var recent []*runnerState
	for _, runner := range runners {
		if now.Sub(runner.servedAt) <= b.listAge.limit.maxAge {
			recent = append(recent, runner)
		}
	}
	return recent
}

// recordServing records that the runner was not yet shutting down at the given time.
func (r *runnerState) recordServing(at time.Time) {
	if at.After(r.servedAt) {
		r.servedAt = at
	}
}
