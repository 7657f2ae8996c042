package shutdown

import (
	"testing"
	"time"
)

// testTimes are the times of a grace time of ten seconds.
var testTimes = TimesOf(10*time.Second, time.Second)

// TestPhasesOfAnEnd: each phase begins by what is open and by the time, whichever comes in
// whichever order, and none goes back.
func TestPhasesOfAnEnd(t *testing.T) {
	type look struct {
		at     time.Duration
		status Status
		want   Phase
	}
	open, handed, none := Status{Open: 3}, Status{Open: 3, HandedOver: true}, Status{HandedOver: true}
	for name, looks := range map[string][]look{
		"nothing is open": {{0, none, Announcing}, {999 * time.Millisecond, none, Announcing}, {time.Second, none, Ended}},
		"answers come":    {{time.Second, handed, Closing}, {5 * time.Second, handed, Closing}, {6 * time.Second, none, Ended}},
		"handed over late": {
			{time.Second, open, Announcing}, {3 * time.Second, open, Announcing}, {3 * time.Second, handed, Closing},
			{4 * time.Second, open, Closing}, {5 * time.Second, none, Ended},
		},
		"answers don't come": {{time.Second, handed, Closing}, {testTimes.Answers, handed, Cutting}, {testTimes.Answers + testTimes.Cut, handed, Ended}},
		"last answers":       {{testTimes.Answers, handed, Cutting}, {testTimes.Answers + time.Millisecond, none, Ended}},
		"never handed over":  {{testTimes.Answers - 1, open, Announcing}, {testTimes.Answers, open, Cutting}, {testTimes.Answers + testTimes.Cut, open, Ended}},
		"it ended":           {{testTimes.Answers, none, Ended}, {testTimes.Answers, open, Ended}},
	} {
		start := time.Unix(1000, 0)
		machine := NewMachine(start, testTimes)
		for i, look := range looks {
			if got := machine.Advance(start.Add(look.at), look.status); got != look.want {
				t.Errorf("%s, look %d: %v, want %v", name, i, got, look.want)
			}
		}
	}
}

// TestTimesFitIntoTheGraceTime: whatever it is, the phases come in their order and the
// process ends before it is over; a long notice is cut down.
func TestTimesFitIntoTheGraceTime(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 6 * time.Second, time.Minute} {
		for _, notice := range []time.Duration{0, 500 * time.Millisecond, time.Hour} {
			times := TimesOf(grace, notice)
			inOrder := times.Notice <= times.Refuse && times.Refuse <= times.Answers && times.Answers+times.Cut <= grace
			// Operators excuse only what is cut in the last sixth of the time.
			if !inOrder || times.Answers < grace*5/6 {
				t.Errorf("grace %v, notice %v: %+v", grace, notice, times)
			}
		}
	}
}
