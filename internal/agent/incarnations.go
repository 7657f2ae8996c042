package agent

import (
	"time"
)

// incarnationRetention is how long the agent keeps an incarnation of its runner that ended or
// signed off.
const incarnationRetention = 2 * time.Minute

// incarnationTimes maps incarnations of the runner, by ID, to times. An entry is deleted
// incarnationRetention after its time, so that the map does not grow with each restart of the
// runner. The zero value is ready for use.
type incarnationTimes struct {
	times map[string]time.Time
}

// record sets the time of an incarnation and deletes expired entries.
func (i *incarnationTimes) record(id string, at, now time.Time) {
	if i.times == nil {
		i.times = map[string]time.Time{}
	}
	for other, recorded := range i.times {
		if now.Sub(recorded) > incarnationRetention {
			delete(i.times, other)
		}
	}
	i.times[id] = at
}

// of returns the time recorded for an incarnation, and whether there is one.
func (i *incarnationTimes) of(id string) (time.Time, bool) {
	at, ok := i.times[id]
	return at, ok
}
