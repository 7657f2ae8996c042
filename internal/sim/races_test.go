package sim

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"
)

// eight sends changes by eight operators side by side, all on the version that
// the first of them reads; with the same number for two of them if shared.
func (d *day) eight(os []*Operator, shared bool) []Change {
	base := os[0].Read(10 * time.Second)
	out := make([]Change, len(os))
	var all sync.WaitGroup
	for i, o := range os {
		out[i] = d.NewChange(base)
		if shared && i%2 == 1 {
			// Two operators pick one number for different changes.
			out[i].Version = out[i-1].Version
			out[i].Text = fmt.Sprintf(desired, out[i].Version, route(fmt.Sprint("other", out[i].Version)))
		}
		all.Go(func() { o.Send(out[i], 20*time.Second) })
	}
	all.Wait()
	return out
}

// again sends acknowledged changes again, at daemons by lot, and demands that
// none is refused.
func (d *day) again(rnd *rand.Rand, when string, n int) {
	d.T.Helper()
	o := d.NewOperator(rnd.Int63())
	defer o.End()
	acked := d.Hist.Acked()
	for range n {
		x := acked[rnd.Intn(len(acked))]
		if code := o.Send(x, 10*time.Second); code != 200 {
			d.T.Errorf("%s: version %d, acknowledged, sent again, gets %d", when, x.Version, code)
		}
	}
}

// operators builds n of them that lose part of their acknowledgements.
func (d *day) operators(n int, lost float64) []*Operator {
	var out []*Operator
	for range n {
		o := d.NewOperator(d.rnd.Int63())
		o.AckLost = lost
		out = append(out, o)
	}
	return out
}

// TestOperatorsRace: up to eight orders under way, on one base, with one number
// for two changes, while answers are lost; each is in force wholly or not at
// all, one of a race wins, and it is known as taken ever after.
func TestOperatorsRace(t *testing.T) {
	for _, seed := range seeds(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playDay(t, three, seed, func(d *day) {
				os := d.operators(8, 0.7)
				for i := range 6 {
					sent := d.eight(os, i%2 == 1)
					n := 0
					for _, a := range d.Hist.Acked() {
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
				d.again(d.rnd, "at once", 4)
				for _, o := range os {
					o.End()
				}
			})
		})
	}
}

// TestOrderSentAgain: an acknowledged change that is sent again, to any daemon,
// is acknowledged again: after another one, after hundreds, after a change of
// leader, a restart of all, a snapshot and a member's new disk.
func TestOrderSentAgain(t *testing.T) {
	playDay(t, three, 1, func(d *day) {
		o := d.NewOperator(1)
		defer o.End()
		step := func(n int) {
			for range n {
				if _, code := o.Step(20 * time.Second); code != 200 {
					t.Errorf("a change with no other under way gets %d", code)
				}
			}
		}
		step(1)
		d.again(d.rnd, "as the newest", 2)
		step(1)
		d.again(d.rnd, "after one more", 4)
		step(300)
		d.again(d.rnd, "300 changes later", 8)
		l := d.Leader()
		d.Kill(l)
		d.again(d.rnd, "after a change of leader", 8)
		d.Start(l, d.lost)
		step(2)
		d.Bounce(time.Second, d.names("")...)
		d.again(d.rnd, "after a restart of all", 8)
		step(2)
		l = d.Leader()
		d.Kill(l)
		d.Wipe(l)
		d.Start(l, d.lost)
		time.Sleep(6 * time.Second)
		d.again(d.rnd, "after a new disk", 8)
	})
}

// TestOperatorsMeetRestarts: eight operators send on while the leader is killed
// or all are restarted, right after an order was sent.
func TestOperatorsMeetRestarts(t *testing.T) {
	for _, seed := range seeds(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playDay(t, three, seed, func(d *day) {
				os := d.operators(8, 0.5)
				for i := range 4 {
					struck := make(chan struct{})
					go func() {
						defer close(struck)
						time.Sleep(time.Duration(5+d.rnd.Intn(395)) * time.Millisecond)
						hit := []string{d.Leader()}
						if hit[0] == "" || i%2 == 1 {
							hit = d.Core()
						}
						d.Bounce(700*time.Millisecond, hit...)
					}()
					d.eight(os, i%2 == 0)
					<-struck
					d.again(d.rnd, fmt.Sprint("after strike ", i), 3)
				}
				for _, o := range os {
					o.End()
				}
			})
		})
	}
}
