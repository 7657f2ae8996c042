package sim

import (
	"testing"
	"time"
)

// replace puts a new machine in a core machine's place: first the new one, as a
// planned replacement does, or first the loss. Settings files written later name
// seeds that are there; those that run keep the old ones.
func (d *day) replace(old string, planned bool) string {
	zone := d.daemon(old).zone
	end := d.Kill
	if planned {
		end = d.Term
	}
	leave := func() {
		end(old)
		d.Remove(old)
		d.SeedsAre(d.Core()[:min(len(d.Core()), 3)]...)
	}
	if !planned {
		leave()
		time.Sleep(time.Second)
		return d.Add(zone)
	}
	n := d.Add(zone)
	time.Sleep(2 * time.Second)
	leave()
	return n
}

// wiped kills a daemon, empties its disk and starts it again.
func (d *day) wiped(name string, down time.Duration) {
	d.Kill(name)
	d.Wipe(name)
	time.Sleep(down)
	d.Start(name, d.lost)
}

func (d *day) follower() string { return d.others("edge", d.Leader(), "edge-4", "edge-6")[0] }

// firstLosses are what a second loss comes after; each returns once the machines
// count again (catchUpS).
var firstLosses = []struct {
	name string
	play func(d *day)
}{
	{"repair of a follower", func(d *day) { d.Bounce(3*time.Second, d.follower()) }},
	{"repair of the leader", func(d *day) { d.Bounce(3*time.Second, d.Leader()) }},
	{"wiped follower", func(d *day) { d.wiped(d.follower(), 500*time.Millisecond) }},
	{"wiped leader", func(d *day) { d.wiped(d.Leader(), 500*time.Millisecond) }},
	{"planned leave of the leader", func(d *day) {
		l := d.Leader()
		d.Term(l)
		time.Sleep(500 * time.Millisecond)
		d.Start(l, d.lost)
	}},
	{"planned replacement of a follower", func(d *day) { d.replace(d.follower(), true) }},
	{"planned replacement of the leader", func(d *day) { d.replace(d.Leader(), true) }},
	{"unplanned replacement of a follower", func(d *day) { d.replace(d.follower(), false) }},
	{"unplanned replacement of the leader", func(d *day) { d.replace(d.Leader(), false) }},
	{"two replaced one after another", func(d *day) {
		d.replace(d.follower(), true)
		time.Sleep(catchUp)
		d.replace(d.Leader(), true)
	}},
}

// TestSecondLoss: after each kind of first loss the leader is lost, once the
// first machine counts again; a majority is left, and all that was acknowledged
// is there.
func TestSecondLoss(t *testing.T) {
	for i, x := range firstLosses {
		t.Run(x.name, func(t *testing.T) {
			playDay(t, three, int64(i+1), func(d *day) {
				d.pilot(1, 700*time.Millisecond, nil)
				time.Sleep(2 * time.Second)
				x.play(d)
				time.Sleep(catchUp)
				l := d.Leader()
				if l == "" {
					t.Error("nobody leads catchUpS after " + x.name)
					return
				}
				d.Kill(l)
				d.acks("with the leader lost")
				d.wiped(l, 0)
				time.Sleep(catchUp)
				d.acks("with it back, its disk lost")
			})
		})
	}
}

// TestMemberLossDuringConfChange: five voters bear two losses; one is replaced or wiped,
// and while that is under way the leader goes.
func TestLossInMidChange(t *testing.T) {
	for i, x := range firstLosses {
		t.Run(x.name, func(t *testing.T) {
			playDay(t, Shape{Core: 5, Edge: 1, Side: 3}, int64(i+1), func(d *day) {
				d.pilot(1, 700*time.Millisecond, nil)
				time.Sleep(2 * time.Second)
				x.play(d)
				time.Sleep(time.Duration(d.rnd.Intn(900)) * time.Millisecond)
				l := d.Leader()
				if l == "" {
					time.Sleep(time.Second)
					l = d.Leader()
				}
				if l == "" {
					t.Error("nobody leads a second after " + x.name)
					return
				}
				d.Kill(l)
				d.acks("with the leader lost in mid-change")
				d.Start(l, d.lost)
				time.Sleep(catchUp)
			})
		})
	}
}
