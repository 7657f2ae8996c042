package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Kind is what a step of a schedule does.
type Kind string

// The kinds of steps.
const (
	StepSignal      Kind = "signal"      // to a daemon; one that ends is started again
	StepConfig      Kind = "config"      // a change of the configuration
	StepDrainRunner Kind = "drain"       // a runner leaves, and another comes
	StepRestart     Kind = "restart hup" // a daemon ends, and its next process gets HUPs as it starts
)

// Step is one thing that is done at a time.
type Step struct {
	At     time.Duration // since the load began
	Kind   Kind
	Daemon int // its place among the daemons
	Signal syscall.Signal
}

// Schedule is what is done in a run, in the order of time. It is drawn whole before the
// run begins, so that the same seed does the same.
type Schedule struct {
	Seed    uint64
	Trouble string // its name
	Steps   []Step
}

// String lists the steps, one a line.
func (s Schedule) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, %s\n", s.Seed, s.Trouble)
	for _, step := range s.Steps {
		fmt.Fprintf(&text, "%8.3f s  %s", step.At.Seconds(), step.Kind)
		if step.Kind == StepSignal || step.Kind == StepRestart {
			fmt.Fprintf(&text, " node-%d", step.Daemon+1)
		}
		if step.Signal != 0 {
			fmt.Fprintf(&text, " %v", step.Signal)
		}
		text.WriteString("\n")
	}
	return text.String()
}

// drawing is the state of a schedule while it is drawn.
type drawing struct {
	random  *rand.Rand
	daemons int
	length  time.Duration
	steps   []Step
}

// troubles are the ways to draw a schedule, by name. Each run has one as its main part, by
// its seed in turn, and a second one laid over it.
var troubles = []struct {
	name string
	draw func(*drawing)
}{
	{"ends one after the other", (*drawing).rollingEnds},
	{"ends with reloads", (*drawing).endsWithReloads},
	{"several ends at once", (*drawing).endsAtOnce},
	{"reloads in series", (*drawing).reloads},
	{"reloads at the start", (*drawing).reloadsAtStart},
	{"changes with ends", (*drawing).changesWithEnds},
	{"frozen and killed", (*drawing).frozenAndKilled},
	{"repeated ends", (*drawing).repeatedEnds},
}

// Draw draws the schedule of a seed for so many daemons and a time.
func Draw(seed uint64, daemons int, length time.Duration) Schedule {
	d := &drawing{random: rand.New(rand.NewPCG(seed, 0)), daemons: daemons, length: length}
	first := troubles[seed%uint64(len(troubles))]
	second := troubles[d.random.IntN(len(troubles))]
	first.draw(d)
	name := first.name
	if second.name != first.name {
		second.draw(d)
		name += ", " + second.name
	}
	slices.SortStableFunc(d.steps, func(a, b Step) int { return int(a.At - b.At) })
	return Schedule{Seed: seed, Trouble: name, Steps: d.steps}
}

// at draws a time of the run.
func (d *drawing) at() time.Duration {
	return time.Duration(d.random.Int64N(int64(d.length)))
}

// within draws a time up to a limit.
func (d *drawing) within(limit time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(limit)))
}

// signal adds a signal to a daemon.
func (d *drawing) signal(at time.Duration, daemon int, signal syscall.Signal) {
	d.steps = append(d.steps, Step{At: at, Kind: StepSignal, Daemon: daemon, Signal: signal})
}

// rollingEnds ends the daemons one after the other, as a rolling restart does.
func (d *drawing) rollingEnds() {
	gap := d.length / time.Duration(d.daemons+1)
	for place, daemon := range d.random.Perm(d.daemons) {
		d.signal(time.Duration(place)*gap+d.within(gap/2), daemon, syscall.SIGTERM)
	}
}

// endsWithReloads ends daemons and has them read their settings meanwhile.
func (d *drawing) endsWithReloads() {
	for _, daemon := range d.random.Perm(d.daemons)[:max(d.daemons/2, 1)] {
		at := d.at()
		d.signal(at, daemon, syscall.SIGTERM)
		for range 1 + d.random.IntN(4) {
			d.signal(at+d.within(2*time.Second), daemon, syscall.SIGHUP)
		}
	}
}

// endsAtOnce ends several daemons at nearly the same moment.
func (d *drawing) endsAtOnce() {
	at := d.at()
	for _, daemon := range d.random.Perm(d.daemons)[:2+d.random.IntN(max(d.daemons-2, 1))] {
		d.signal(at+d.within(100*time.Millisecond), daemon, syscall.SIGTERM)
	}
}

// reloads has daemons read their settings many times.
func (d *drawing) reloads() {
	for daemon := range d.daemons {
		at := d.at()
		for range 20 {
			at += d.within(150 * time.Millisecond)
			d.signal(at, daemon, syscall.SIGHUP)
		}
	}
}

// reloadsAtStart has daemons read their settings while they start.
func (d *drawing) reloadsAtStart() {
	for range 3 {
		d.steps = append(d.steps, Step{At: d.at(), Kind: StepRestart, Daemon: d.random.IntN(d.daemons)})
	}
}

// changesWithEnds changes the configuration and the runners while daemons end.
func (d *drawing) changesWithEnds() {
	for range 4 {
		at := d.at()
		d.steps = append(d.steps, Step{At: at, Kind: StepConfig}, Step{At: at + d.within(time.Second), Kind: StepDrainRunner})
		d.signal(at+d.within(time.Second), d.random.IntN(d.daemons), syscall.SIGTERM)
	}
}

// frozenAndKilled stops a daemon for a moment and kills another.
func (d *drawing) frozenAndKilled() {
	order := d.random.Perm(d.daemons)
	at := d.at()
	d.signal(at, order[0], syscall.SIGSTOP)
	d.signal(at+200*time.Millisecond+d.within(time.Second), order[0], syscall.SIGCONT)
	d.signal(d.at(), order[1], syscall.SIGKILL)
}

// repeatedEnds sends SIGTERM several times to the same process.
func (d *drawing) repeatedEnds() {
	for range 2 {
		at, daemon := d.at(), d.random.IntN(d.daemons)
		for range 2 + d.random.IntN(3) {
			d.signal(at, daemon, syscall.SIGTERM)
			at += d.within(500 * time.Millisecond)
		}
	}
}
