package clock

import (
	"testing"
	"time"
)

// clockCluster simulates a cluster whose machines' clocks can be stepped. It reads the leader's wall
// clock every 50 ms, stamps it on an entry, and applies the entry on all members.
type clockCluster struct {
	t       *testing.T
	start   time.Time
	now     time.Time
	members []*clockMember
	leader  int
}

// clockMember is one machine and its process.
type clockMember struct {
	offset    time.Duration // of the machine's clock from the true time
	timeOfDay TimeOfDay
	wall      Wall
}

func newClockCluster(t *testing.T, members int) *clockCluster {
	c := &clockCluster{t: t, start: time.Now()}
	c.now = c.start
	for range members {
		c.members = append(c.members, &clockMember{wall: NewWall(c.now)})
	}
	return c
}

// stepClocks sets the offset of the clocks of the first count machines.
func (c *clockCluster) stepClocks(offset time.Duration, count int) {
	for _, member := range c.members[:count] {
		member.offset = offset
	}
}

// restart restarts the process of a member; logged is the newest wall clock in its log, 0 if none.
func (c *clockCluster) restart(member int, logged time.Duration) {
	m := c.members[member]
	m.timeOfDay, m.wall = TimeOfDay{}, NewWall(c.now)
	if logged > 0 {
		m.wall.Observe(c.now, logged)
	}
}

// elect makes another member the leader.
func (c *clockCluster) elect(member int) {
	c.leader = member
	c.members[member].wall.BeginTerm()
}

// trueTime returns the true time of day.
func (c *clockCluster) trueTime() time.Duration { return MachineTime(c.now) }

// run advances the time by length. It returns the wall clock of the last entry, and by how much the
// clock was at most ahead of and behind the true time.
func (c *clockCluster) run(length time.Duration) (last, ahead, behind time.Duration) {
	const interval = 50 * time.Millisecond
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(interval) {
		readings := make([]time.Duration, len(c.members))
		for i, member := range c.members {
			readings[i] = member.timeOfDay.Read(c.now, c.trueTime()+member.offset)
		}
		last, _ = c.members[c.leader].wall.Read(c.now, readings)
		for _, member := range c.members {
			member.wall.Observe(c.now, last)
		}
		ahead, behind = max(ahead, last-c.trueTime()), max(behind, c.trueTime()-last)
	}
	return last, ahead, behind
}

// maxClockError is the bound early_ms that operators are given.
const maxClockError = 250 * time.Millisecond

// TestTimeOfDayStepsStayWithinTheBound checks that the cluster's clock stays within maxClockError
// while the clocks of one, some or all machines are stepped forward or back for some seconds, also if
// the leader changes and a process restarts meanwhile.
func TestTimeOfDayStepsStayWithinTheBound(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, 8 * time.Second, 20 * time.Second, time.Hour} {
		for _, sign := range []time.Duration{1, -1} {
			for _, stepped := range []int{1, 2, 5} {
				for _, elected := range []bool{false, true} {
					c := newClockCluster(t, 5)
					_, early, late := c.run(12 * time.Second)
					c.stepClocks(sign*step, stepped)
					if elected {
						c.run(time.Second)
						c.restart(4, 0)
						c.elect(2)
					}
					_, e, l := c.run(8 * time.Second)
					early, late = max(early, e), max(late, l)
					if elected {
						c.elect(3)
					}
					c.stepClocks(0, stepped)
					_, e, l = c.run(time.Minute)
					early, late = max(early, e), max(late, l)
					if early > maxClockError || late > maxClockError {
						t.Errorf("%d of 5 machines stepped by %v for 8 s, leader change %v: up to %v early, %v late",
							stepped, sign*step, elected, early, late)
					}
				}
			}
		}
	}
}

// TestWallClockAfterAFullOutage checks that after an outage of all members the clock is late by the
// length of the outage at first, is never early, and is right after stepConfirmTime. It also covers
// machine clocks that are stepped while the processes start, and then step back.
func TestWallClockAfterAFullOutage(t *testing.T) {
	for _, step := range []time.Duration{0, 8 * time.Second} {
		c := newClockCluster(t, 3)
		logged, _, _ := c.run(10 * time.Second)
		c.stepClocks(step, 3)
		const outage = 4 * time.Second
		c.now = c.now.Add(outage)
		for i := range c.members {
			c.restart(i, logged)
		}
		c.elect(1)
		_, early, late := c.run(5 * time.Second)
		c.stepClocks(0, 3)
		_, e, l := c.run(stepConfirmTime + 5*time.Second)
		if early = max(early, e); early > maxClockError {
			t.Errorf("step %v: %v early", step, early)
		}
		if late = max(late, l); late > outage+maxClockError {
			t.Errorf("step %v: %v late", step, late)
		}
		if _, early, late := c.run(time.Second); early > maxClockError || late > maxClockError {
			t.Errorf("step %v: %v early, %v late after stepConfirmTime", step, early, late)
		}
	}
}

// TestFirstStartWithWrongClocks checks that a minority of wrong clocks at the first start has no
// effect, and that the cluster follows a majority of wrong clocks, until they are corrected.
func TestFirstStartWithWrongClocks(t *testing.T) {
	c := newClockCluster(t, 5)
	c.stepClocks(time.Hour, 2)
	if _, early, late := c.run(20 * time.Second); early > maxClockError || late > maxClockError {
		t.Errorf("two of five clocks wrong: %v early, %v late", early, late)
	}
	c = newClockCluster(t, 5)
	c.stepClocks(time.Hour, 3)
	if _, early, _ := c.run(20 * time.Second); early < time.Hour-time.Second {
		t.Errorf("three of five clocks wrong: %v ahead, want their time", early)
	}
	c.stepClocks(0, 3)
	c.run(stepConfirmTime + time.Second)
	if _, early, late := c.run(20 * time.Second); early > maxClockError || late > maxClockError {
		t.Errorf("clocks corrected: %v early, %v late", early, late)
	}
}

// TestLastingStepIsSlewedUntilRestart checks that a lasting forward step of all clocks is followed
// only by slewing, and is adopted once the members have been restarted one by one.
func TestLastingStepIsSlewedUntilRestart(t *testing.T) {
	c := newClockCluster(t, 3)
	c.run(5 * time.Second)
	c.stepClocks(time.Minute, 3)
	if _, early, _ := c.run(40 * time.Second); early > maxClockError {
		t.Errorf("%v early 40 s after the step", early)
	}
	for i := range c.members {
		c.restart(i, 0)
		c.elect((i + 1) % 3)
		c.run(time.Second)
	}
	c.run(stepConfirmTime + time.Second)
	if _, early, _ := c.run(time.Second); early < 59*time.Second {
		t.Errorf("clock is ahead by %v, want the members' new time", early)
	}
}
