package simulation

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// faultKinds are the kinds of the users' list that a whole cluster can be played
// with; each takes about ten seconds.
var faultKinds = []struct {
	name string
	play func(d *scenario)
}{
	{"ack_lost", func(d *scenario) {
		for _, o := range d.newOperators(4, 0.7) {
			d.background.Go(func() {
				defer o.Close()
				for range 6 {
					o.MakeChange(10 * time.Second)
				}
			})
		}
		time.Sleep(10 * time.Second)
	}},
	{"after_ack_kill timed", func(d *scenario) {
		for range 4 {
			o := d.newOperators(1, 0)[0]
			o.Read(5 * time.Second)
			d.background.Go(func() { defer o.Close(); o.MakeChange(10 * time.Second) })
			time.Sleep(time.Duration(5+d.random.Intn(395)) * time.Millisecond)
			d.Restart(800*time.Millisecond, d.Servers()...)
			time.Sleep(2 * time.Second)
		}
	}},
	{"after_ack_kill taken", func(d *scenario) {
		for i := range 4 {
			if d.SubmitJob(jobID(500000+i), newJob(300, 400, 2)) {
				d.recordAccepted(jobID(500000 + i))
			}
			d.Restart(800*time.Millisecond, d.nodeNames("")...)
			time.Sleep(2 * time.Second)
		}
	}},
	{"herd_kill of all core", func(d *scenario) {
		d.Restart(1500*time.Millisecond, d.Servers()...)
		time.Sleep(5 * time.Second)
		d.Restart(300*time.Millisecond, d.Servers()...)
	}},
	{"core_cut seeds both race", func(d *scenario) {
		a, b := d.Servers()[0], d.Servers()[1]
		mend := d.InjectFault(a, IsolateFromServers)
		os := d.newOperators(3, 0)
		defer func() {
			for _, o := range os {
				o.Close()
			}
		}()
		os[0].Read(3 * time.Second)
		x, y := d.NewChange(os[0].knownVersion), d.NewChange(os[0].knownVersion)
		var sent sync.WaitGroup
		sent.Go(func() { os[1].SendAt(a, x) })
		sent.Go(func() { os[2].SendAt(b, y) })
		time.Sleep(4 * time.Second)
		sent.Wait()
		mend()
		os[1].SendAt(a, x)
		time.Sleep(4 * time.Second)
	}},
	{"core_cut hard", func(d *scenario) {
		l := d.Leader()
		mend := d.InjectFault(l, IsolateBothWays)
		time.Sleep(2 * time.Second)
		d.Kill(l) // in mid-cut
		mend()
		d.Start(l, d.toleratedLosses)
		time.Sleep(5 * time.Second)
	}},
	{"config_storm", func(d *scenario) {
		d.sendConcurrentChanges(1, 300*time.Millisecond, 8*time.Second)
		time.Sleep(10 * time.Second)
	}},
	{"big_config", func(d *scenario) {
		// Many tries: another operator is at work and may win the race.
		o := d.newOperators(1, 0.3)[0]
		defer o.Close()
		taken := 0
		for range 8 {
			o.Read(5 * time.Second)
			x := d.NewChange(o.knownVersion)
			var more strings.Builder
			for i := range 1000 {
				more.WriteString(routeJSON(fmt.Sprintf("big-%d-%d", x.Version, i)))
			}
			x.Text, x.Routes = fmt.Sprintf(configurationFormat, x.Version, more.String()), 1000
			if o.Send(x, 20*time.Second) == 200 {
				taken++
			}
		}
		if taken == 0 {
			d.T.Error("no configuration of 1,000 routes was taken in eight tries")
		}
		d.Restart(500*time.Millisecond, d.Leader())
		time.Sleep(3 * time.Second)
	}},
	{"hup", func(d *scenario) {
		for range 3 {
			for _, n := range d.nodeNames("") {
				d.ReloadSettings(n)
			}
			time.Sleep(2 * time.Second)
		}
	}},
	{"roll_term busy", func(d *scenario) {
		for _, n := range d.nodeNames("") {
			d.Terminate(n)
			time.Sleep(500 * time.Millisecond)
			d.Start(n, d.toleratedLosses)
			time.Sleep(1500 * time.Millisecond)
		}
	}},
	{"seed_turnover", func(d *scenario) {
		n := d.replaceServer(d.Servers()[0], true)
		d.SetSeeds(n, d.Servers()[0], "edge-4")
		for _, x := range d.nodeNames("") {
			d.ReloadSettings(x)
		}
		time.Sleep(catchUpBound)
		d.Restart(500*time.Millisecond, d.nodeNames("")...)
		time.Sleep(catchUpBound)
	}},
}

// closingFaults are the faults at the end of a day, right after an acknowledgement.
var closingFaults = []struct {
	name string
	play func(d *scenario)
}{
	{"power off all", func(d *scenario) { d.Restart(1500*time.Millisecond, d.nodeNames("")...) }},
	{"kill all", func(d *scenario) { d.Restart(300*time.Millisecond, d.nodeNames("")...) }},
	{"wipe the leader", func(d *scenario) { d.restartWiped(d.Leader(), 500*time.Millisecond) }},
	{"wipe a follower, power off the others", func(d *scenario) {
		hit := d.follower()
		d.Kill(hit)
		d.WipeDisk(hit)
		d.Restart(800*time.Millisecond, d.nodesExcept("edge", hit)...)
		d.Start(hit, d.toleratedLosses)
	}},
	{"wipe the leader, power off the others", func(d *scenario) {
		hit := d.Leader()
		d.Kill(hit)
		d.WipeDisk(hit)
		d.Restart(800*time.Millisecond, d.nodesExcept("edge", hit)...)
		d.Start(hit, d.toleratedLosses)
	}},
}

// injectClosingFault plays a closing fault right after a change was acknowledged, or so
// long after it was sent, or right after a job was accepted.
func (d *scenario) injectClosingFault(how string, fault func(d *scenario)) {
	o := d.newOperators(1, 0)[0]
	defer o.Close()
	o.Read(5 * time.Second)
	switch how {
	case "timed":
		d.background.Go(func() { o.MakeChange(10 * time.Second) })
		time.Sleep(time.Duration(5+d.random.Intn(395)) * time.Millisecond)
	case "taken":
		if d.SubmitJob(jobID(600000), newJob(300, 400, 2)) {
			d.recordAccepted(jobID(600000))
		}
	default:
		o.MakeChange(10 * time.Second)
	}
	fault(d)
	time.Sleep(catchUpBound)
}

// TestFaultKinds plays each kind, and after it each of the closing faults in
// turn.
func TestFaultKinds(t *testing.T) {
	for i, x := range faultKinds {
		t.Run(x.name, func(t *testing.T) {
			runScenario(t, threeServers, int64(i+1), func(d *scenario) {
				d.runOperator(int64(i+1), time.Second, nil)
				time.Sleep(2 * time.Second)
				x.play(d)
				time.Sleep(catchUpBound)
				d.injectClosingFault("", closingFaults[i%len(closingFaults)].play)
			})
		})
	}
}

// TestClosingFaults plays each closing fault right after an acknowledgement,
// soon after a change was sent, and right after a job was accepted.
func TestClosingFaults(t *testing.T) {
	for i, x := range closingFaults {
		for k, how := range []string{"acknowledged", "timed", "taken"} {
			t.Run(x.name+"/"+how, func(t *testing.T) {
				runScenario(t, threeServers, int64(10*i+k), func(d *scenario) {
					time.Sleep(2 * time.Second)
					d.injectClosingFault(how, x.play)
				})
			})
		}
	}
}
