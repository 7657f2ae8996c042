package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// evacuatedZone is the zone that tests evacuate.
const evacuatedZone = "z1"

// requestEvacuation begins or finishes the evacuation of evacuatedZone, with calls to a node until
// one is acknowledged. It returns how long that took.
func (c *Cluster) requestEvacuation(node, order string) time.Duration {
	c.T.Helper()
	const zone = evacuatedZone
	begin := time.Now()
	if order == "Finish" {
		c.History.record(Event{Kind: EventEvacuationEnded, Node: zone})
	}
	c.WaitUntil(order+" of the evacuation of "+zone+" is acknowledged", 10*time.Second, func() bool {
		code, _, _ := c.request(http.MethodPost, c.nodeURL(node, controlPort, "/-/Evacuation."+order+"/"+zone), "", "", nil)
		return code == http.StatusOK
	})
	if order == "Begin" {
		c.History.record(Event{Kind: EventEvacuated, Node: zone})
	}
	return time.Since(begin)
}

// TestEvacuation checks that soon after the evacuation of a zone begins nothing starts there until
// the evacuation is finished, also if the leader is lost, servers or agents restart, or runners
// reject starts or don't respond. All jobs must end.
func TestEvacuation(t *testing.T) {
	spec := ClusterSpec{Servers: 3, Edges: 1, Agents: 4, Zones: 2}
	for name, fault := range map[string]func(c *Cluster){
		"no fault":       func(*Cluster) {},
		"leader lost":    func(c *Cluster) { c.Restart(time.Second, c.Leader()) },
		"agents restart": func(c *Cluster) { c.Restart(300*time.Millisecond, "side-2", "side-4") },
		"all killed":     func(c *Cluster) { c.Restart(500*time.Millisecond, c.Servers()...) },
		"runners reject starts": func(c *Cluster) {
			c.changeRunners(3*time.Second, func(r *Runner, on bool) { r.RejectsStarts = on }, "side-2", "side-4")
		},
		"unresponsive runners": func(c *Cluster) {
			c.changeRunners(3*time.Second, func(r *Runner, on bool) { r.Unresponsive = on }, "side-2", "side-4")
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFault(t, spec, func(c *Cluster) {
				if took := c.requestEvacuation(disklessEdge, "Begin"); took > time.Second {
					t.Errorf("the evacuation was acknowledged after %v, want at most 1s", took)
				}
				fault(c)
				time.Sleep(6 * time.Second)
			}, func(c *Cluster) {
				// Jobs still run in the other zone.
				for i := range 4 {
					c.SubmitJob(jobID(900+i), newJob(200, 4000, 4))
				}
				time.Sleep(3 * time.Second)
				before := len(c.startsIn(evacuatedZone))
				c.requestEvacuation(disklessEdge, "Finish")
				for i := range 8 {
					c.SubmitJob(jobID(950+i), newJob(500, 4000, 4))
				}
				c.WaitUntil("the zone is used again", 10*time.Second, func() bool { return len(c.startsIn(evacuatedZone)) > before })
			})
		})
	}
}

// startsIn returns the runs that were started in a zone.
func (c *Cluster) startsIn(zone string) (starts []Event) {
	c.History.mu.Lock()
	defer c.History.mu.Unlock()
	for _, event := range c.History.Events {
		if event.Kind == EventRunStarted && c.History.zones[event.Node] == zone {
			starts = append(starts, event)
		}
	}
	return starts
}

// TestEvacuationOrders checks that repeated orders get the same answer at any node, and that an
// unknown zone is refused.
func TestEvacuationOrders(t *testing.T) {
	withCluster(t, ClusterSpec{Servers: 3, Edges: 1, Agents: 2, Zones: 2}, func(t *testing.T, c *Cluster) {
		for i, want := range []struct {
			order string
			code  int
		}{
			{"Begin/z0", http.StatusOK}, {"Begin/z0", http.StatusOK}, {"Begin/z1", http.StatusOK},
			{"Finish/z0", http.StatusOK}, {"Finish/z0", http.StatusOK}, {"Finish/z1", http.StatusOK},
			{"Begin/nowhere", http.StatusNotFound},
		} {
			nodes := c.nodeNames(edgeRole)
			node := nodes[i%len(nodes)]
			if code, body, _ := c.request(http.MethodPost, c.nodeURL(node, controlPort, "/-/Evacuation."+want.order), "", "", nil); code != want.code {
				t.Error(fmt.Sprint(want.order, " at ", node, ": ", code, " ", string(body)))
			}
		}
	})
}
