package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Kind is the kind of a step of a schedule.
type Kind string

// Kinds of steps.
const (
	StepSignal      Kind = "signal"      // sends a signal to a daemon, which is restarted if it exits
	StepConfig      Kind = "config"      // changes the configuration
	StepDrainRunner Kind = "drain"       // drains a runner and starts another
	StepRestart     Kind = "restart hup" // restarts a daemon and sends SIGHUPs to its next process as it starts
)

// Step is one action of a schedule.
type Step struct {
	At     time.Duration // since the load began
	Kind   Kind
	Daemon int // index of the daemon
	Signal syscall.Signal
}

// Schedule is the list of steps of a run in the order of time. It is generated completely before the
// run begins, so that a seed always gives the same steps.
type Schedule struct {
	Seed     uint64
	Scenario string // names of its scenarios
	Steps    []Step
}

// String lists the steps, one per line.
func (s Schedule) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, %s\n", s.Seed, s.Scenario)
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

// generator holds the state of a schedule while it is generated.
type generator struct {
	random  *rand.Rand
	daemons int
	length  time.Duration
	steps   []Step
}

// scenarios are the scenarios of schedules, by name. Each schedule has one that is selected by its seed
// in turn, and a second random one at the same time.
var scenarios = []struct {
	name     string
	generate func(*generator)
}{
	{"rolling stops", (*generator).rollingStops},
	{"stops with reloads", (*generator).stopsWithReloads},
	{"simultaneous stops", (*generator).simultaneousStops},
	{"repeated reloads", (*generator).reloads},
	{"reloads at startup", (*generator).reloadsAtStartup},
	{"configuration changes with stops", (*generator).changesWithStops},
	{"freeze and kill", (*generator).freezeAndKill},
	{"repeated stops", (*generator).repeatedStops},
}

// GenerateSchedule generates the schedule of a seed for a number of daemons and a length.
func GenerateSchedule(seed uint64, daemons int, length time.Duration) Schedule {
	d := &generator{random: rand.New(rand.NewPCG(seed, 0)), daemons: daemons, length: length}
	first := scenarios[seed%uint64(len(scenarios))]
	second := scenarios[d.random.IntN(len(scenarios))]
	first.generate(d)
	name := first.name
	if second.name != first.name {
		second.generate(d)
		name += ", " + second.name
	}
	slices.SortStableFunc(d.steps, func(a, b Step) int { return int(a.At - b.At) })
	return Schedule{Seed: seed, Scenario: name, Steps: d.steps}
}

// at draws a time within the schedule.
func (d *generator) at() time.Duration {
	return time.Duration(d.random.Int64N(int64(d.length)))
}

// within draws a duration below a limit.
func (d *generator) within(limit time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(limit)))
}

// signal adds a step that sends a signal to a daemon.
func (d *generator) signal(at time.Duration, daemon int, signal syscall.Signal) {
	d.steps = append(d.steps, Step{At: at, Kind: StepSignal, Daemon: daemon, Signal: signal})
}

// rollingStops sends SIGTERM to the daemons one after the other, as a rolling restart does.
func (d *generator) rollingStops() {
	gap := d.length / time.Duration(d.daemons+1)
	for i, daemon := range d.random.Perm(d.daemons) {
		d.signal(time.Duration(i)*gap+d.within(gap/2), daemon, syscall.SIGTERM)
	}
}

// stopsWithReloads sends SIGTERM to half of the daemons, and SIGHUPs while they stop.
func (d *generator) stopsWithReloads() {
	for _, daemon := range d.random.Perm(d.daemons)[:max(d.daemons/2, 1)] {
		at := d.at()
		d.signal(at, daemon, syscall.SIGTERM)
		for range 1 + d.random.IntN(4) {
			d.signal(at+d.within(2*time.Second), daemon, syscall.SIGHUP)
		}
	}
}

// simultaneousStops sends SIGTERM to several daemons at nearly the same time.
func (d *generator) simultaneousStops() {
	at := d.at()
	for _, daemon := range d.random.Perm(d.daemons)[:2+d.random.IntN(max(d.daemons-2, 1))] {
		d.signal(at+d.within(100*time.Millisecond), daemon, syscall.SIGTERM)
	}
}

// reloads sends many SIGHUPs to each daemon.
func (d *generator) reloads() {
	for daemon := range d.daemons {
		at := d.at()
		for range 20 {
			at += d.within(150 * time.Millisecond)
			d.signal(at, daemon, syscall.SIGHUP)
		}
	}
}

// reloadsAtStartup restarts daemons and sends them SIGHUPs while they start.
func (d *generator) reloadsAtStartup() {
	for range 3 {
		d.steps = append(d.steps, Step{At: d.at(), Kind: StepRestart, Daemon: d.random.IntN(d.daemons)})
	}
}

// changesWithStops changes the configuration and replaces runners while daemons stop.
func (d *generator) changesWithStops() {
	for range 4 {
		at := d.at()
		d.steps = append(d.steps, Step{At: at, Kind: StepConfig}, Step{At: at + d.within(time.Second), Kind: StepDrainRunner})
		d.signal(at+d.within(time.Second), d.random.IntN(d.daemons), syscall.SIGTERM)
	}
}

// freezeAndKill freezes a daemon for a short time and kills another.
func (d *generator) freezeAndKill() {
	order := d.random.Perm(d.daemons)
	at := d.at()
	d.signal(at, order[0], syscall.SIGSTOP)
	d.signal(at+200*time.Millisecond+d.within(time.Second), order[0], syscall.SIGCONT)
	d.signal(d.at(), order[1], syscall.SIGKILL)
}

// repeatedStops sends SIGTERM several times to the same daemon.
func (d *generator) repeatedStops() {
	for range 2 {
		at, daemon := d.at(), d.random.IntN(d.daemons)
		for range 2 + d.random.IntN(3) {
			d.signal(at, daemon, syscall.SIGTERM)
			at += d.within(500 * time.Millisecond)
		}
	}
}
