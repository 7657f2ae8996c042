package agent

import (
	"time"
)

// incarnationRetention is how long an agent remembers an incarnation of its runner that ended or
// signed off.
const incarnationRetention = 2 * time.Minute

// incarnationTimes are times noted for incarnations of the runner, by ID. Each is
// forgotten incarnationRetention after it, so that the table does not grow with
// each restart of the runner. The zero value is ready for use.
type incarnationTimes struct {
	times map[string]time.Time
}

// note records a time for an incarnation and forgets what is too old by now.
func (i *incarnationTimes) note(id string, at, now time.Time) {
	if i.times == nil {
		i.times = map[string]time.Time{}
	}
	for other, noted := range i.times {
		if now.Sub(noted) > incarnationRetention {
			delete(i.times, other)
		}
	}
	i.times[id] = at
}

// of returns the time noted for an incarnation, and whether there is one.
func (i *incarnationTimes) of(id string) (time.Time, bool) {
	at, ok := i.times[id]
	return at, ok
}
