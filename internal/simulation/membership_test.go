package simulation

import (
	"testing"
	"time"
)

// replaceServer puts a new machine in a core machine's place: first the new one, as a
// planned replacement does, or first the loss. Settings files written later name
// seeds that are there; those that run keep the old ones.
func (d *scenario) replaceServer(old string, planned bool) string {
	zone := d.node(old).zone
	end := d.Kill
	if planned {
		end = d.Terminate
	}
	leave := func() {
		end(old)
		d.RemoveNode(old)
		d.SetSeeds(d.Servers()[:min(len(d.Servers()), 3)]...)
	}
	if !planned {
		leave()
		time.Sleep(time.Second)
		return d.AddServer(zone)
	}
	n := d.AddServer(zone)
	time.Sleep(2 * time.Second)
	leave()
	return n
}

// restartWiped kills a daemon, empties its disk and starts it again.
func (d *scenario) restartWiped(name string, down time.Duration) {
	d.Kill(name)
	d.WipeDisk(name)
	time.Sleep(down)
	d.Start(name, d.toleratedLosses)
}

func (d *scenario) follower() string { return d.nodesExcept("edge", d.Leader(), "edge-4", "edge-6")[0] }

// firstLosses are what a second loss comes after; each returns once the machines
// count again (catchUpS).
var firstLosses = []struct {
	name string
	play func(d *scenario)
}{
	{"repair of a follower", func(d *scenario) { d.Restart(3*time.Second, d.follower()) }},
	{"repair of the leader", func(d *scenario) { d.Restart(3*time.Second, d.Leader()) }},
	{"wiped follower", func(d *scenario) { d.restartWiped(d.follower(), 500*time.Millisecond) }},
	{"wiped leader", func(d *scenario) { d.restartWiped(d.Leader(), 500*time.Millisecond) }},
	{"planned leave of the leader", func(d *scenario) {
		l := d.Leader()
		d.Terminate(l)
		time.Sleep(500 * time.Millisecond)
		d.Start(l, d.toleratedLosses)
	}},
	{"planned replacement of a follower", func(d *scenario) { d.replaceServer(d.follower(), true) }},
	{"planned replacement of the leader", func(d *scenario) { d.replaceServer(d.Leader(), true) }},
	{"unplanned replacement of a follower", func(d *scenario) { d.replaceServer(d.follower(), false) }},
	{"unplanned replacement of the leader", func(d *scenario) { d.replaceServer(d.Leader(), false) }},
	{"two replaced one after another", func(d *scenario) {
		d.replaceServer(d.follower(), true)
		time.Sleep(catchUpBound)
		d.replaceServer(d.Leader(), true)
	}},
}

// TestSecondLoss: after each kind of first loss the leader is lost, once the
// first machine counts again; a majority is left, and all that was acknowledged
// is there.
func TestSecondLoss(t *testing.T) {
	for i, x := range firstLosses {
		t.Run(x.name, func(t *testing.T) {
			runScenario(t, threeServers, int64(i+1), func(d *scenario) {
				d.runOperator(1, 700*time.Millisecond, nil)
				time.Sleep(2 * time.Second)
				x.play(d)
				time.Sleep(catchUpBound)
				l := d.Leader()
				if l == "" {
					t.Error("nobody leads catchUpS after " + x.name)
					return
				}
				d.Kill(l)
				d.requireAcknowledgement("with the leader lost")
				d.restartWiped(l, 0)
				time.Sleep(catchUpBound)
				d.requireAcknowledgement("with it back, its disk lost")
			})
		})
	}
}

// TestMemberLossDuringConfChange: five voters bear two losses; one is replaced or wiped,
// and while that is under way the leader goes.
func TestLossInMidChange(t *testing.T) {
	for i, x := range firstLosses {
		t.Run(x.name, func(t *testing.T) {
			runScenario(t, ClusterSpec{Servers: 5, Edges: 1, Agents: 3}, int64(i+1), func(d *scenario) {
				d.runOperator(1, 700*time.Millisecond, nil)
				time.Sleep(2 * time.Second)
				x.play(d)
				time.Sleep(time.Duration(d.random.Intn(900)) * time.Millisecond)
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
				d.requireAcknowledgement("with the leader lost in mid-change")
				d.Start(l, d.toleratedLosses)
				time.Sleep(catchUpBound)
			})
		})
	}
}
