package sim

import (
	"fmt"
	"testing"
	"time"
)

// TestStormyDay is the day that broke TWICE on qurum-play (issue 14, part 0): a
// storm of configurations for 24 s, a core machine cut off for 14 s that meets
// a change as it returns, then a seed cut off while both sides are sent a
// change, with both restarted, and at last all processes killed. Short tasks
// end all the while; each that was acknowledged stays ended.
func TestStormyDay(t *testing.T) {
	for _, seed := range seeds(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playDay(t, Shape{Core: 3, Edge: 1, Side: 4}, seed, func(d *day) {
				d.hands(job(400, 100, 8), 100*time.Millisecond)
				if seed%2 == 1 {
					// So many that the machine that was cut off needs a snapshot.
					d.fill(400, 20*time.Second)
				}
				from := time.Now()
				at := func(s float64) { time.Sleep(time.Until(from.Add(time.Duration(s * float64(time.Second))))) }
				at(2)
				d.storm(seed, 700*time.Millisecond, 24*time.Second)
				at(4)
				hit := d.Leader()
				if seed%3 == 0 {
					hit = d.others("edge", hit, "edge-4")[0]
				}
				mend := d.Harm(hit, CutBoth)
				at(18)
				mend()
				o, p := d.NewOperator(seed+50), d.NewOperator(seed+51)
				defer o.End()
				defer p.End()
				o.base = d.version.Load()
				o.SendAt(hit, d.NewChange(o.base)) // it meets a change
				at(20)
				seed1 := d.Core()[d.rnd.Intn(2)]
				rest := d.others("edge", seed1, "edge-4")
				other := rest[d.rnd.Intn(len(rest))]
				mend = d.Harm(seed1, CutBoth)
				o.Read(2 * time.Second)
				base := o.base
				d.all.Go(func() { o.SendAt(seed1, d.NewChange(base)) })
				d.all.Go(func() { p.SendAt(other, d.NewChange(base)) })
				at(24)
				mend()
				d.Bounce(500*time.Millisecond, seed1, other)
				at(38)
				d.Bounce(time.Second, d.names("")...)
				at(45)
			})
		})
	}
}
