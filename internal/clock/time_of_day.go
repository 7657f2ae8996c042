package clock

import (
	"time"
)

// slewRate is how fast a clock follows a source that it isn't sure of, in seconds a second:
// far above an oscillator's drift, and slow enough that a step that is taken back does no harm.
const slewRate = 0.005

// TimeOfDay reads the machine's time of day, freed of steps: it is read once and goes on
// by the monotonic clock. A step ahead moves it only by slewing, and a step back is
// followed for as long as it lasts, since a periodic run may be late but not early. A
// process that starts while the time of day is wrong has nothing to hold it against; the
// median of the members, and the log, stand against that (see Wall).
type TimeOfDay struct {
	startedAt time.Time     // of the first reading; zero: there was none
	readAt    time.Time     // of the last one
	offset    time.Duration // time since 1970 at startedAt, by what is believed now
}

// Read returns the time since 1970 at a moment, given what the machine's clock says.
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

// slew moves an offset towards another by at most slewRate.
func slew(from, to, elapsed time.Duration) time.Duration {
	most := time.Duration(float64(max(elapsed, 0)) * slewRate)
	return from + max(min(to-from, most), -most)
}

// MachineTime is what a reading of the machine's clock says, as time since 1970.
func MachineTime(now time.Time) time.Duration { return time.Duration(now.UnixNano()) }
