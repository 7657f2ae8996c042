package simulation

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"
)

// raceOperators sends changes by eight operators side by side, all on the version that
// the first of them reads; with the same number for two of them if shared.
func (d *scenario) raceOperators(os []*Operator, shared bool) []ConfigurationChange {
	base := os[0].Read(10 * time.Second)
	out := make([]ConfigurationChange, len(os))
	var all sync.WaitGroup
	for i, o := range os {
		out[i] = d.NewChange(base)
		if shared && i%2 == 1 {
			// Two operators pick one number for different changes.
			out[i].Version = out[i-1].Version
			out[i].Text = fmt.Sprintf(configurationFormat, out[i].Version, routeJSON(fmt.Sprint("other", out[i].Version)))
		}
		all.Go(func() { o.Send(out[i], 20*time.Second) })
	}
	all.Wait()
	return out
}

// resendAcknowledged sends acknowledged changes again, at daemons by lot, and demands that
// none is refused.
func (d *scenario) resendAcknowledged(rnd *rand.Rand, when string, n int) {
	d.T.Helper()
	o := d.NewOperator(rnd.Int63())
	defer o.Close()
	acked := d.History.Acknowledged()
	for range n {
		x := acked[rnd.Intn(len(acked))]
		if code := o.Send(x, 10*time.Second); code != 200 {
			d.T.Errorf("%s: version %d, acknowledged, sent again, gets %d", when, x.Version, code)
		}
	}
}

// newOperators builds n of them that lose part of their acknowledgements.
func (d *scenario) newOperators(n int, lost float64) []*Operator {
	var out []*Operator
	for range n {
		o := d.NewOperator(d.random.Int63())
		o.AckLossRate = lost
		out = append(out, o)
	}
	return out
}

// TestOperatorsRace: up to eight orders under way, on one base, with one number
// for two changes, while answers are lost; each is in force wholly or not at
// all, one of a race wins, and it is known as taken ever after.
func TestOperatorsRace(t *testing.T) {
	for _, seed := range testSeeds(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, threeServers, seed, func(d *scenario) {
				os := d.newOperators(8, 0.7)
				for i := range 6 {
					sent := d.raceOperators(os, i%2 == 1)
					n := 0
					for _, a := range d.History.Acknowledged() {
						for _, x := range sent {
							if a.Text == x.Text {
								n++
							}
						}
					}
					if n > 1 {
						t.Errorf("round %d: %d of 8 changes on one base were acknowledged", i, n)
					}
				}
				d.resendAcknowledged(d.random, "at once", 4)
				for _, o := range os {
					o.Close()
				}
			})
		})
	}
}

// TestChangeResent: an acknowledged change that is sent again, to any daemon,
// is acknowledged again: after another one, after hundreds, after a change of
// leader, a restart of all, a snapshot and a member's new disk.
func TestChangeResent(t *testing.T) {
	runScenario(t, threeServers, 1, func(d *scenario) {
		o := d.NewOperator(1)
		defer o.Close()
		step := func(n int) {
			for range n {
				if _, code := o.MakeChange(20 * time.Second); code != 200 {
					t.Errorf("a change with no other under way gets %d", code)
				}
			}
		}
		step(1)
		d.resendAcknowledged(d.random, "as the newest", 2)
		step(1)
		d.resendAcknowledged(d.random, "after one more", 4)
		step(300)
		d.resendAcknowledged(d.random, "300 changes later", 8)
		l := d.Leader()
		d.Kill(l)
		d.resendAcknowledged(d.random, "after a change of leader", 8)
		d.Start(l, d.toleratedLosses)
		step(2)
		d.Restart(time.Second, d.nodeNames("")...)
		d.resendAcknowledged(d.random, "after a restart of all", 8)
		step(2)
		l = d.Leader()
		d.Kill(l)
		d.WipeDisk(l)
		d.Start(l, d.toleratedLosses)
		time.Sleep(6 * time.Second)
		d.resendAcknowledged(d.random, "after a new disk", 8)
	})
}

// TestOperatorsDuringRestarts: eight operators send on while the leader is killed
// or all are restarted, right after an order was sent.
func TestOperatorsDuringRestarts(t *testing.T) {
	for _, seed := range testSeeds(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, threeServers, seed, func(d *scenario) {
				os := d.newOperators(8, 0.5)
				for i := range 4 {
					struck := make(chan struct{})
					go func() {
						defer close(struck)
						time.Sleep(time.Duration(5+d.random.Intn(395)) * time.Millisecond)
						hit := []string{d.Leader()}
						if hit[0] == "" || i%2 == 1 {
							hit = d.Servers()
						}
						d.Restart(700*time.Millisecond, hit...)
					}()
					d.raceOperators(os, i%2 == 0)
					<-struck
					d.resendAcknowledged(d.random, fmt.Sprint("after strike ", i), 3)
				}
				for _, o := range os {
					o.Close()
				}
			})
		})
	}
}
