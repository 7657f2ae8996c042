package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
)

// Troubles of the grown deployments, beside the known ones.

// TestManyJobsWantOneRack: what finds no room at its data's rack goes on
// elsewhere, and work that wants no rack isn't held up.
func TestManyJobsWantOneRack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Build(t, Shape{Core: 3, Edge: 1, Side: 6})
		defer c.End()
		i := 0
		for _, n := range c.names("side") {
			r := c.Runners[n]
			r.set(func() { r.Labels = []string{"a", []string{"r1", "r2", "r3"}[i/2]} })
			i++
		}
		c.Ready()
		from := time.Now()
		for i := range 8 {
			c.HandIn(id(i), job(400, 0, 0, protocol.Step{TaskCount: 10, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 400, PreferredRack: "r2"}))
		}
		c.HandIn(id(8), job(200, 500, 4))
		c.Until("the one that wants no rack is done", 4*time.Second, func() bool { return c.State("edge-4", id(8)) == "done" })
		for i := range 8 {
			c.Until("done", 10*time.Second, func() bool { return c.State("edge-4", id(i)) == "done" })
		}
		// Why 5 s: alone on their rack, 80 tasks of 0.4 s on 16 cores need 2 s
		// and more; with the others' room, half of it.
		if d := time.Since(from); d > 5*time.Second {
			t.Errorf("took %v", d)
		}
		for _, b := range c.Hist.Broken() {
			t.Error(b)
		}
	})
}

// TestRunnerShedsAllAndBeatsOn: its beats and its health are good, and it turns
// every start away: the work goes elsewhere.
func TestRunnerShedsAllAndBeatsOn(t *testing.T) {
	run(t, three, func(c *Cluster) {
		r := c.Runners["side-2"]
		r.set(func() { r.Shed = true })
		time.Sleep(5 * time.Second)
		r.set(func() { r.Shed = false })
	}, nil)
}

// TestRunnersFlap: a runner that goes down and up by turns gets less and less
// work while it does, and is used again later.
func TestRunnersFlap(t *testing.T) {
	run(t, three, func(c *Cluster) {
		r := c.Runners["side-2"]
		for range 6 {
			r.set(func() { r.Dark = true })
			time.Sleep(700 * time.Millisecond)
			r.set(func() { r.Dark = false })
			r.Crash()
			time.Sleep(700 * time.Millisecond)
		}
	}, func(c *Cluster) {
		r := c.Runners["side-2"]
		r.set(func() { r.started = 0 })
		time.Sleep(4 * time.Second)
		c.HandIn(id(100), job(300, 1000, 20))
		c.Until("done", 10*time.Second, func() bool { return c.State("edge-4", id(100)) == "done" })
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.started == 0 {
			t.Error("it is not used again")
		}
	})
}

// TestSlowLeaderHandsOver: its frames come late both ways; within seconds
// another leads, and no rule breaks meanwhile.
func TestSlowLeaderHandsOver(t *testing.T) {
	run(t, five, func(c *Cluster) {
		l := c.Leader()
		c.Net.Slow(c.IP(l), 900*time.Millisecond)
		c.Until("another leads", 15*time.Second, func() bool { n := c.Leader(); return n != "" && n != l })
		c.Net.Slow(c.IP(l), 0)
	}, nil)
}

// TestSlowSideDaemonKeepsItsHolds: all that it says and hears comes a second
// late; its runner obeys the holds that it was given.
func TestSlowSideDaemonKeepsItsHolds(t *testing.T) {
	run(t, three, func(c *Cluster) {
		c.Net.Slow(c.IP("side-1"), 500*time.Millisecond)
		time.Sleep(6 * time.Second)
		c.Net.Slow(c.IP("side-1"), 0)
	}, nil)
}
