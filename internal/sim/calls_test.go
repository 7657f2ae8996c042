package sim

import (
	"fmt"
	"testing"
	"time"
)

// TestConnectionsReset: connections of daemons by lot, to each other and to
// clients, are reset again and again while calls are under way; runners carry
// out part of their orders late. Nothing is started twice, and no answer is
// taken for another call's.
func TestConnectionsReset(t *testing.T) {
	for _, seed := range seeds(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playDay(t, three, seed, func(d *day) {
				d.hands(job(150, 400, 6), 100*time.Millisecond)
				d.pilot(seed, 300*time.Millisecond, nil)
				for _, r := range d.Runners {
					r.set(func() { r.Late = 0.15 })
				}
				all := d.names("")
				for range 100 {
					d.Net.Reset(d.IP(all[d.rnd.Intn(len(all))]))
					time.Sleep(time.Duration(20+d.rnd.Intn(260)) * time.Millisecond)
				}
				for _, r := range d.Runners {
					r.set(func() { r.Late = 0 })
				}
			})
		})
	}
}

// TestEndsUnderLostLeaders: ends of short tasks are on their way while leaders,
// aggregators and side daemons are killed one after another, with answers held
// back by cuts: what is acknowledged to a runner stays ended.
func TestEndsUnderLostLeaders(t *testing.T) {
	for _, seed := range seeds(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playDay(t, Shape{Core: 3, Edge: 1, Side: 4}, seed, func(d *day) {
				d.hands(job(120, 200, 8), 100*time.Millisecond)
				for range 6 {
					l := d.Leader()
					if l == "" {
						time.Sleep(time.Second)
						continue
					}
					side := d.names("side")[d.rnd.Intn(4)]
					// Some cuts hold back its answers and leave its hearing.
					mend := d.Harm(l, []string{CutOut, CutBoth, CutCore}[d.rnd.Intn(3)])
					time.Sleep(time.Duration(d.rnd.Intn(4000)) * time.Millisecond)
					d.Bounce(time.Duration(100+d.rnd.Intn(500))*time.Millisecond, side)
					mend()
					time.Sleep(time.Duration(d.rnd.Intn(300)) * time.Millisecond)
					d.Bounce(300*time.Millisecond, l)
					time.Sleep(time.Duration(500+d.rnd.Intn(1500)) * time.Millisecond)
				}
			})
		})
	}
}
