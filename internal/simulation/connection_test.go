package simulation

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
	for _, seed := range testSeeds(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, threeServers, seed, func(d *scenario) {
				d.setWorkload(newJob(150, 400, 6), 100*time.Millisecond)
				d.runOperator(seed, 300*time.Millisecond, nil)
				for _, r := range d.Runners {
					r.update(func() { r.LateFraction = 0.15 })
				}
				all := d.nodeNames("")
				for range 100 {
					d.Network.ResetConnections(d.NodeIP(all[d.random.Intn(len(all))]))
					time.Sleep(time.Duration(20+d.random.Intn(260)) * time.Millisecond)
				}
				for _, r := range d.Runners {
					r.update(func() { r.LateFraction = 0 })
				}
			})
		})
	}
}

// TestCompletionsUnderLostLeaders: ends of short tasks are on their way while leaders,
// aggregators and side daemons are killed one after another, with answers held
// back by cuts: what is acknowledged to a runner stays ended.
func TestCompletionsUnderLostLeaders(t *testing.T) {
	for _, seed := range testSeeds(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, ClusterSpec{Servers: 3, Edges: 1, Agents: 4}, seed, func(d *scenario) {
				d.setWorkload(newJob(120, 200, 8), 100*time.Millisecond)
				for range 6 {
					l := d.Leader()
					if l == "" {
						time.Sleep(time.Second)
						continue
					}
					side := d.nodeNames("side")[d.random.Intn(4)]
					// Some cuts hold back its answers and leave its hearing.
					mend := d.InjectFault(l, []string{IsolateOutbound, IsolateBothWays, IsolateFromServers}[d.random.Intn(3)])
					time.Sleep(time.Duration(d.random.Intn(4000)) * time.Millisecond)
					d.Restart(time.Duration(100+d.random.Intn(500))*time.Millisecond, side)
					mend()
					time.Sleep(time.Duration(d.random.Intn(300)) * time.Millisecond)
					d.Restart(300*time.Millisecond, l)
					time.Sleep(time.Duration(500+d.random.Intn(1500)) * time.Millisecond)
				}
			})
		})
	}
}
