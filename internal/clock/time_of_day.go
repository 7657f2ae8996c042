package clock

import (
	"time"
)

// slewRate is the rate, in seconds per second, at which a clock follows a source that may be wrong.
// It is far above the drift of an oscillator, and low enough that a step that is soon reversed does
// no harm.
const slewRate = 0.005

// TimeOfDay is the machine's time of day with forward steps smoothed: it starts from the first reading
// and continues by the monotonic clock. A forward step is followed by slewing only. A backward step is
// followed at once, for as long as it lasts, since a periodic run may start late but not early. A
// process that starts while the machine's clock is wrong can't detect that; the median of the
// members and the log protect against it (see Wall).
type TimeOfDay struct {
	startedAt time.Time     // time of the first reading; zero before it
	readAt    time.Time     // time of the last reading
	offset    time.Duration // estimated time since 1970 at startedAt
}

// Read returns the time since 1970; machine is the reading of the machine's clock.
func (t *TimeOfDay) Read(now time.Time, machine time.Duration) time.Duration {
	if t.startedAt.IsZero() {
		t.startedAt, t.readAt, t.offset = now, now, machine
		return machine
	}
	elapsed := now.Sub(t.startedAt)
	t.offset = slew(t.offset, machine-elapsed, now.Sub(t.readAt))
	t.readAt = now
	return min(machine, t.offset+elapsed)
}

// slew moves an offset toward another, by at most slewRate times the elapsed time.
func slew(from, to, elapsed time.Duration) time.Duration {
	limit := time.Duration(float64(max(elapsed, 0)) * slewRate)
	return from + max(min(to-from, limit), -limit)
}

// MachineTime returns a reading of the machine's clock as time since 1970.
func MachineTime(now time.Time) time.Duration { return time.Duration(now.UnixNano()) }
