package simulation

import (
	"sync"
	"testing"
	"time"
)

// isolations are the ways of cutting one daemon off.
var isolations = []string{IsolateBothWays, IsolateInbound, IsolateOutbound, IsolateFromServers, IsolateFromClients, Frozen, Slowed}

// testIsolation harms a daemon for 20 s while operators and clients call it, and
// demands that it is back within the bounds after it.
func testIsolation(t *testing.T, victim func(d *scenario) string) {
	for i, how := range isolations {
		t.Run(how, func(t *testing.T) {
			runScenario(t, ClusterSpec{Servers: 3, Edges: 1, Agents: 3, Debug: true}, int64(i+1), func(d *scenario) {
				name := victim(d)
				over := make(chan struct{})
				pilot := d.runOperator(1, 900*time.Millisecond, over)
				time.Sleep(2 * time.Second)
				o := d.NewOperator(2)
				defer o.Close()
				o.Read(5 * time.Second)
				edge := d.node(name).role == "edge"
				mend := d.InjectFault(name, how)
				met := &sync.WaitGroup{}
				if edge {
					met = d.exerciseNode(name, o, over)
				}
				time.Sleep(10 * time.Second)
				if ready := edge && d.IsReady(name); ready && how != Slowed {
					t.Errorf("%s counts itself ready after 10 s: %s", name, how)
				}
				time.Sleep(10 * time.Second)
				close(over)
				met.Wait()
				mend()
				back := time.Now()
				<-pilot
				if edge {
					d.requireNewestConfiguration(name, back)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

func TestLeaderCutOff(t *testing.T) { testIsolation(t, func(d *scenario) string { return d.Leader() }) }

func TestFollowerCutOff(t *testing.T) {
	testIsolation(t, func(d *scenario) string { return d.nodesExcept("edge", d.Leader(), "edge-4")[0] })
}

func TestDisklessEdgeIsolated(t *testing.T) {
	testIsolation(t, func(d *scenario) string { return "edge-4" })
}

func TestAgentIsolated(t *testing.T) { testIsolation(t, func(d *scenario) string { return "side-1" }) }
