package sim

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// troubles are the kinds of the users' list that a whole cluster can be played
// with; each takes about ten seconds.
var troubles = []struct {
	name string
	play func(d *day)
}{
	{"ack_lost", func(d *day) {
		for _, o := range d.operators(4, 0.7) {
			d.all.Go(func() {
				defer o.End()
				for range 6 {
					o.Step(10 * time.Second)
				}
			})
		}
		time.Sleep(10 * time.Second)
	}},
	{"after_ack_kill timed", func(d *day) {
		for range 4 {
			o := d.operators(1, 0)[0]
			o.Read(5 * time.Second)
			d.all.Go(func() { defer o.End(); o.Step(10 * time.Second) })
			time.Sleep(time.Duration(5+d.rnd.Intn(395)) * time.Millisecond)
			d.Bounce(800*time.Millisecond, d.Core()...)
			time.Sleep(2 * time.Second)
		}
	}},
	{"after_ack_kill taken", func(d *day) {
		for i := range 4 {
			if d.HandIn(id(500000+i), job(300, 400, 2)) {
				d.accepted(id(500000 + i))
			}
			d.Bounce(800*time.Millisecond, d.names("")...)
			time.Sleep(2 * time.Second)
		}
	}},
	{"herd_kill of all core", func(d *day) {
		d.Bounce(1500*time.Millisecond, d.Core()...)
		time.Sleep(5 * time.Second)
		d.Bounce(300*time.Millisecond, d.Core()...)
	}},
	{"core_cut seeds both race", func(d *day) {
		a, b := d.Core()[0], d.Core()[1]
		mend := d.Harm(a, CutCore)
		os := d.operators(3, 0)
		defer func() {
			for _, o := range os {
				o.End()
			}
		}()
		os[0].Read(3 * time.Second)
		x, y := d.NewChange(os[0].base), d.NewChange(os[0].base)
		var sent sync.WaitGroup
		sent.Go(func() { os[1].SendAt(a, x) })
		sent.Go(func() { os[2].SendAt(b, y) })
		time.Sleep(4 * time.Second)
		sent.Wait()
		mend()
		os[1].SendAt(a, x)
		time.Sleep(4 * time.Second)
	}},
	{"core_cut hard", func(d *day) {
		l := d.Leader()
		mend := d.Harm(l, CutBoth)
		time.Sleep(2 * time.Second)
		d.Kill(l) // in mid-cut
		mend()
		d.Start(l, d.lost)
		time.Sleep(5 * time.Second)
	}},
	{"config_storm", func(d *day) {
		d.storm(1, 300*time.Millisecond, 8*time.Second)
		time.Sleep(10 * time.Second)
	}},
	{"big_config", func(d *day) {
		// Many tries: another operator is at work and may win the race.
		o := d.operators(1, 0.3)[0]
		defer o.End()
		taken := 0
		for range 8 {
			o.Read(5 * time.Second)
			x := d.NewChange(o.base)
			var more strings.Builder
			for i := range 1000 {
				more.WriteString(route(fmt.Sprintf("big-%d-%d", x.Version, i)))
			}
			x.Text, x.Routes = fmt.Sprintf(desired, x.Version, more.String()), 1000
			if o.Send(x, 20*time.Second) == 200 {
				taken++
			}
		}
		if taken == 0 {
			d.T.Error("no configuration of 1,000 routes was taken in eight tries")
		}
		d.Bounce(500*time.Millisecond, d.Leader())
		time.Sleep(3 * time.Second)
	}},
	{"hup", func(d *day) {
		for range 3 {
			for _, n := range d.names("") {
				d.Reload(n)
			}
			time.Sleep(2 * time.Second)
		}
	}},
	{"roll_term busy", func(d *day) {
		for _, n := range d.names("") {
			d.Term(n)
			time.Sleep(500 * time.Millisecond)
			d.Start(n, d.lost)
			time.Sleep(1500 * time.Millisecond)
		}
	}},
	{"seed_turnover", func(d *day) {
		n := d.replace(d.Core()[0], true)
		d.SeedsAre(n, d.Core()[0], "edge-4")
		for _, x := range d.names("") {
			d.Reload(x)
		}
		time.Sleep(catchUp)
		d.Bounce(500*time.Millisecond, d.names("")...)
		time.Sleep(catchUp)
	}},
}

// closings are the faults at the end of a day, right after an acknowledgement.
var closings = []struct {
	name string
	play func(d *day)
}{
	{"power off all", func(d *day) { d.Bounce(1500*time.Millisecond, d.names("")...) }},
	{"kill all", func(d *day) { d.Bounce(300*time.Millisecond, d.names("")...) }},
	{"wipe the leader", func(d *day) { d.wiped(d.Leader(), 500*time.Millisecond) }},
	{"wipe a follower, power off the others", func(d *day) {
		hit := d.follower()
		d.Kill(hit)
		d.Wipe(hit)
		d.Bounce(800*time.Millisecond, d.others("edge", hit)...)
		d.Start(hit, d.lost)
	}},
	{"wipe the leader, power off the others", func(d *day) {
		hit := d.Leader()
		d.Kill(hit)
		d.Wipe(hit)
		d.Bounce(800*time.Millisecond, d.others("edge", hit)...)
		d.Start(hit, d.lost)
	}},
}

// strike plays a closing fault right after a change was acknowledged, or so
// long after it was sent, or right after a job was accepted.
func (d *day) strike(how string, fault func(d *day)) {
	o := d.operators(1, 0)[0]
	defer o.End()
	o.Read(5 * time.Second)
	switch how {
	case "timed":
		d.all.Go(func() { o.Step(10 * time.Second) })
		time.Sleep(time.Duration(5+d.rnd.Intn(395)) * time.Millisecond)
	case "taken":
		if d.HandIn(id(600000), job(300, 400, 2)) {
			d.accepted(id(600000))
		}
	default:
		o.Step(10 * time.Second)
	}
	fault(d)
	time.Sleep(catchUp)
}

// TestKindsOfTrouble plays each kind, and after it each of the closing faults in
// turn.
func TestKindsOfTrouble(t *testing.T) {
	for i, x := range troubles {
		t.Run(x.name, func(t *testing.T) {
			playDay(t, three, int64(i+1), func(d *day) {
				d.pilot(int64(i+1), time.Second, nil)
				time.Sleep(2 * time.Second)
				x.play(d)
				time.Sleep(catchUp)
				d.strike("", closings[i%len(closings)].play)
			})
		})
	}
}

// TestClosingFaults plays each closing fault right after an acknowledgement,
// soon after a change was sent, and right after a job was accepted.
func TestClosingFaults(t *testing.T) {
	for i, x := range closings {
		for k, how := range []string{"acknowledged", "timed", "taken"} {
			t.Run(x.name+"/"+how, func(t *testing.T) {
				playDay(t, three, int64(10*i+k), func(d *day) {
					time.Sleep(2 * time.Second)
					d.strike(how, x.play)
				})
			})
		}
	}
}
