package registry

import "time"

// Announcements is the list of runners that register themselves by heartbeats, for deployments
// whose platform doesn't list them. It reads no clock: each call carries the time. Use
// NewAnnouncements; the zero value is not usable.
type Announcements struct {
	heartbeatTimeout time.Duration // a runner without a heartbeat for longer is dropped
	runners          map[string]*announcedRunner
	// departed maps the ID of each runner that signed off and is no longer listed to the time when
	// that was recorded. A heartbeat that arrives late doesn't add such a runner again.
	departed map[string]time.Time
}

// announcedRunner is the last known state of a runner.
type announcedRunner struct {
	runner      Runner
	sequence    int64
	lastContact time.Time
	// departsBy is when a runner that has signed off is dropped at the latest; zero if it has not
	// signed off.
	departsBy time.Time
}

// departedRetentionFactor is for how many heartbeat timeouts a departed runner is remembered.
const departedRetentionFactor = 20

// NewAnnouncements returns an empty list that drops a runner after heartbeatTimeout without a
// heartbeat.
func NewAnnouncements(heartbeatTimeout time.Duration) *Announcements {
	return &Announcements{
		heartbeatTimeout: heartbeatTimeout,
		runners:          map[string]*announcedRunner{},
		departed:         map[string]time.Time{},
	}
}

// Heartbeat records a heartbeat, numbered by the runner, and reports whether the list
// has changed. An outdated heartbeat only renews the contact time. No heartbeat ends draining.
// Departed runners are ignored.
func (a *Announcements) Heartbeat(runner Runner, sequence int64, now time.Time) (changed bool) {
	if _, hasDeparted := a.departed[runner.ID]; hasDeparted {
		return false
	}
	known := a.runners[runner.ID]
	if known == nil {
		a.runners[runner.ID] = &announcedRunner{runner: runner, sequence: sequence, lastContact: now}
		return true
	}
	known.lastContact = now
	if sequence < known.sequence {
		return false
	}
	known.sequence = sequence
	runner.Draining = runner.Draining || known.runner.Draining
	runner.WarmUpMs = known.runner.WarmUpMs
	changed = runner != known.runner
	known.runner = runner
	return changed
}

// SignOff marks a runner as draining, to be dropped after gracePeriod at the latest, and reports
// whether the list has changed.
func (a *Announcements) SignOff(id string, gracePeriod time.Duration, now time.Time) (changed bool) {
	known := a.runners[id]
	if known == nil {
		// Its heartbeats may still arrive.
		a.departed[id] = now
		return false
	}
	if known.departsBy.IsZero() {
		known.departsBy = now.Add(gracePeriod)
	}
	changed = !known.runner.Draining
	known.runner.Draining = true
	return changed
}

// Expire drops the runners whose heartbeats have timed out or whose grace period is over, and
// reports whether the list has changed.
func (a *Announcements) Expire(now time.Time) (changed bool) {
	for id, known := range a.runners {
		hasDeparted := !known.departsBy.IsZero() && !now.Before(known.departsBy)
		if timedOut := now.Sub(known.lastContact) > a.heartbeatTimeout; timedOut || hasDeparted {
			delete(a.runners, id)
			changed = true
			if hasDeparted {
				a.departed[id] = now
			}
		}
	}
	for id, at := range a.departed {
		if now.Sub(at) > departedRetentionFactor*a.heartbeatTimeout {
			delete(a.departed, id)
		}
	}
	return changed
}

// Runners returns the runners, sorted by ID.
func (a *Announcements) Runners() []Runner {
	runners := make([]Runner, 0, len(a.runners))
	for _, known := range a.runners {
		runners = append(runners, known.runner)
	}
	sortByID(runners)
	return runners
}
