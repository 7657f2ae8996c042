package simulation

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
	for _, seed := range testSeeds(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, ClusterSpec{Servers: 3, Edges: 1, Agents: 4}, seed, func(d *scenario) {
				d.setWorkload(newJob(400, 100, 8), 100*time.Millisecond)
				if seed%2 == 1 {
					// So many that the machine that was cut off needs a snapshot.
					d.growLog(400, 20*time.Second)
				}
				from := time.Now()
				at := func(s float64) { time.Sleep(time.Until(from.Add(time.Duration(s * float64(time.Second))))) }
				at(2)
				d.sendConcurrentChanges(seed, 700*time.Millisecond, 24*time.Second)
				at(4)
				hit := d.Leader()
				if seed%3 == 0 {
					hit = d.nodesExcept("edge", hit, "edge-4")[0]
				}
				mend := d.InjectFault(hit, IsolateBothWays)
				at(18)
				mend()
				o, p := d.NewOperator(seed+50), d.NewOperator(seed+51)
				defer o.Close()
				defer p.Close()
				o.knownVersion = d.lastVersion.Load()
				o.SendAt(hit, d.NewChange(o.knownVersion)) // it meets a change
				at(20)
				seed1 := d.Servers()[d.random.Intn(2)]
				rest := d.nodesExcept("edge", seed1, "edge-4")
				other := rest[d.random.Intn(len(rest))]
				mend = d.InjectFault(seed1, IsolateBothWays)
				o.Read(2 * time.Second)
				base := o.knownVersion
				d.background.Go(func() { o.SendAt(seed1, d.NewChange(base)) })
				d.background.Go(func() { p.SendAt(other, d.NewChange(base)) })
				at(24)
				mend()
				d.Restart(500*time.Millisecond, seed1, other)
				at(38)
				d.Restart(time.Second, d.nodeNames("")...)
				at(45)
			})
		})
	}
}
