package clock

import (
	"testing"
	"time"
)

// clockWorld is a cluster whose machines' times of day jump. It reads the leader's wall
// clock each 50 ms, puts it into an entry, and has all that are up apply that.
type clockWorld struct {
	t       *testing.T
	start   time.Time
	now     time.Time
	members []*clockMember
	leader  int
}

// clockMember is one machine and its process.
type clockMember struct {
	step    time.Duration // of the time of day, ahead of the true time
	reading TimeOfDay
	cluster Wall
}

func newClockWorld(t *testing.T, members int) *clockWorld {
	w := &clockWorld{t: t, start: time.Now()}
	w.now = w.start
	for range members {
		w.members = append(w.members, &clockMember{cluster: NewWall(w.now)})
	}
	return w
}

// stepClocks moves the time of day of the first count machines.
func (w *clockWorld) stepClocks(step time.Duration, count int) {
	for _, member := range w.members[:count] {
		member.step = step
	}
}

// restart starts the process of a member anew, knowing what its log holds.
func (w *clockWorld) restart(member int, logged time.Duration) {
	m := w.members[member]
	m.reading, m.cluster = TimeOfDay{}, NewWall(w.now)
	if logged > 0 {
		m.cluster.Learn(w.now, logged)
	}
}

// elect makes another member the leader.
func (w *clockWorld) elect(member int) {
	w.leader = member
	w.members[member].cluster.BeginTerm()
}

// trueTime is the true time of day.
func (w *clockWorld) trueTime() time.Duration { return MachineTime(w.now) }

// play lets time pass; it gives the wall clock of the last entry, and by how much the
// clock was ahead of the true time at most, and behind it.
func (w *clockWorld) play(length time.Duration) (last, ahead, behind time.Duration) {
	const interval = 50 * time.Millisecond
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(interval) {
		readings := make([]time.Duration, len(w.members))
		for i, member := range w.members {
			readings[i] = member.reading.Read(w.now, w.trueTime()+member.step)
		}
		last, _ = w.members[w.leader].cluster.Read(w.now, readings)
		for _, member := range w.members {
			member.cluster.Learn(w.now, last)
		}
		ahead, behind = max(ahead, last-w.trueTime()), max(behind, w.trueTime()-last)
	}
	return last, ahead, behind
}

// mostEarly is the operators' bound early_ms.
const mostEarly = 250 * time.Millisecond

// TestStepsOfTheTimeOfDayStartNothingEarly: times of day that jump for some seconds, on
// one, some or all machines, ahead or back, also while the leader changes and a process is
// started again, leave the cluster's clock within the operators' bound.
func TestStepsOfTheTimeOfDayStartNothingEarly(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, 8 * time.Second, 20 * time.Second, time.Hour} {
		for _, sign := range []time.Duration{1, -1} {
			for _, stepped := range []int{1, 2, 5} {
				for _, elected := range []bool{false, true} {
					w := newClockWorld(t, 5)
					_, early, late := w.play(12 * time.Second)
					w.stepClocks(sign*step, stepped)
					if elected {
						w.play(time.Second)
						w.restart(4, 0)
						w.elect(2)
					}
					_, e, l := w.play(8 * time.Second)
					early, late = max(early, e), max(late, l)
					if elected {
						w.elect(3)
					}
					w.stepClocks(0, stepped)
					_, e, l = w.play(time.Minute)
					early, late = max(early, e), max(late, l)
					if early > mostEarly || late > mostEarly {
						t.Errorf("%d of 5 machines step by %v for 8 s, another leader %v: up to %v early, %v late", stepped, sign*step, elected, early, late)
					}
				}
			}
		}
	}
}

// TestClockAfterAnOutageOfAll: the clock is late by the outage at first, never early, and
// right once that has lasted for the hold; also if the times of day are stepped as the
// processes start, and then go back.
func TestClockAfterAnOutageOfAll(t *testing.T) {
	for _, step := range []time.Duration{0, 8 * time.Second} {
		w := newClockWorld(t, 3)
		logged, _, _ := w.play(10 * time.Second)
		w.stepClocks(step, 3)
		const outage = 4 * time.Second
		w.now = w.now.Add(outage)
		for i := range w.members {
			w.restart(i, logged)
		}
		w.elect(1)
		_, early, late := w.play(5 * time.Second)
		w.stepClocks(0, 3)
		_, e, l := w.play(stepHold + 5*time.Second)
		if early = max(early, e); early > mostEarly {
			t.Errorf("step %v: %v early", step, early)
		}
		if late = max(late, l); late > outage+mostEarly {
			t.Errorf("step %v: %v late", step, late)
		}
		if _, early, late := w.play(time.Second); early > mostEarly || late > mostEarly {
			t.Errorf("step %v: %v early, %v late after the hold", step, early, late)
		}
	}
}

// TestFirstStartWithWrongClocks: a minority of wrong clocks at the first start has no
// effect; a majority gives the cluster its time, and takes it back once it is put right.
func TestFirstStartWithWrongClocks(t *testing.T) {
	w := newClockWorld(t, 5)
	w.stepClocks(time.Hour, 2)
	if _, early, late := w.play(20 * time.Second); early > mostEarly || late > mostEarly {
		t.Errorf("two of five wrong: %v early, %v late", early, late)
	}
	w = newClockWorld(t, 5)
	w.stepClocks(time.Hour, 3)
	if _, early, _ := w.play(20 * time.Second); early < time.Hour-time.Second {
		t.Errorf("three of five wrong: %v ahead, want their time", early)
	}
	w.stepClocks(0, 3)
	w.play(stepHold + time.Second)
	if _, early, late := w.play(20 * time.Second); early > mostEarly || late > mostEarly {
		t.Errorf("put right: %v early, %v late", early, late)
	}
}

// TestStepThatLastsIsSlewedOrConfirmed: a step ahead of all that lasts is followed by the
// slew alone, and taken over once the members were started again, one by one.
func TestStepThatLastsIsSlewedOrConfirmed(t *testing.T) {
	w := newClockWorld(t, 3)
	w.play(5 * time.Second)
	w.stepClocks(time.Minute, 3)
	if _, early, _ := w.play(40 * time.Second); early > mostEarly {
		t.Errorf("%v early after 40 s of a step", early)
	}
	for i := range w.members {
		w.restart(i, 0)
		w.elect((i + 1) % 3)
		w.play(time.Second)
	}
	w.play(stepHold + time.Second)
	if _, early, _ := w.play(time.Second); early < 59*time.Second {
		t.Errorf("the members' new time is ahead by %v only", early)
	}
}
