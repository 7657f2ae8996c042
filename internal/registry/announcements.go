package registry

import "time"

// Announcements are the runners that tell of themselves by heartbeats, where no platform
// lists them. It is pure: times come with each call. The zero value is not ready for use.
type Announcements struct {
	silence time.Duration // after which a runner is taken to be gone
	runners map[string]*announcedRunner
	// left are the runners that are gone, and when they were last heard: a heartbeat
	// that comes late brings none of them back.
	left map[string]time.Time
}

// announcedRunner is what a runner last told.
type announcedRunner struct {
	runner      Runner
	sequence    int64
	lastContact time.Time
	// leavesAt is when a runner that has signed off is gone at the latest; zero: it hasn't.
	leavesAt time.Time
}

// leftRetention is how many silences long a runner that is gone is remembered.
const leftRetention = 20

// NewAnnouncements makes an empty list. A runner that isn't heard for the silence is gone.
func NewAnnouncements(silence time.Duration) *Announcements {
	return &Announcements{silence: silence, runners: map[string]*announcedRunner{}, left: map[string]time.Time{}}
}

// Heartbeat records a heartbeat, numbered by the runner, and reports whether the list
// has changed. One that comes after a newer one changes nothing, and none ends a drain.
func (a *Announcements) Heartbeat(runner Runner, sequence int64, now time.Time) (changed bool) {
	if _, gone := a.left[runner.ID]; gone {
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
	runner.ColdMs = known.runner.ColdMs
	changed = runner != known.runner
	known.runner = runner
	return changed
}

// SignOff records that a runner leaves, and goes on for a while at most; it tells
// whether the list has changed.
func (a *Announcements) SignOff(id string, goesOn time.Duration, now time.Time) (changed bool) {
	known := a.runners[id]
	if known == nil {
		// Its heartbeats may be on their way.
		a.left[id] = now
		return false
	}
	if known.leavesAt.IsZero() {
		known.leavesAt = now.Add(goesOn)
	}
	changed = !known.runner.Draining
	known.runner.Draining = true
	return changed
}

// Expire drops runners that were silent for too long or have left, and reports whether the
// list has changed.
func (a *Announcements) Expire(now time.Time) (changed bool) {
	for id, known := range a.runners {
		hasLeft := !known.leavesAt.IsZero() && !now.Before(known.leavesAt)
		if silent := now.Sub(known.lastContact) > a.silence; silent || hasLeft {
			delete(a.runners, id)
			changed = true
			if hasLeft {
				a.left[id] = now
			}
		}
	}
	for id, at := range a.left {
		if now.Sub(at) > leftRetention*a.silence {
			delete(a.left, id)
		}
	}
	return changed
}

// Runners lists the runners, by their IDs.
func (a *Announcements) Runners() []Runner {
	runners := make([]Runner, 0, len(a.runners))
	for _, known := range a.runners {
		runners = append(runners, known.runner)
	}
	sortByID(runners)
	return runners
}
