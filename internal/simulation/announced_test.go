package simulation

import (
	"testing"
	"time"
)

// announcedDay runs a test on gateways whose runners tell of themselves.
func announcedDay(t *testing.T, test func(c *Cluster, load *gatewayLoad)) {
	t.Helper()
	gatewayDayOf(t, ClusterSpec{Servers: 3, Edges: 3, Zones: 2, Gateway: true, Announced: true}, test)
}

// TestAnnouncedRunnersComeAndGo: runners that no platform lists are used as soon as they
// say that they are there, are not used once they have said that they leave, and are given
// up when they fall silent.
func TestAnnouncedRunnersComeAndGo(t *testing.T) {
	announcedDay(t, func(c *Cluster, load *gatewayLoad) {
		all := c.nodeNames(gatewayRole)
		begin := time.Now()
		c.platform.Drain("i-01")
		c.platform.StartRunner("svc", "z0")
		load.run(5*time.Second, all...)
		load.wantServed("one replaced", begin, 1)
		begin = time.Now()
		time.AfterFunc(time.Second, func() { c.platform.Crash("i-02", 0) })
		load.run(5*time.Second, all...)
		load.wantServed("one crashed", begin, 0.95) // writes under way are lost
		begin = time.Now()
		load.run(2*time.Second, all...)
		load.wantServed("afterwards", begin, 1)
	})
}

// TestAnnouncedRunnersUnderTheNextLeader: daemons go on by the list that they have until the
// next leader has heard of the runners, and a daemon that is cut off goes on by it too; all
// runners are replaced meanwhile.
func TestAnnouncedRunnersUnderTheNextLeader(t *testing.T) { announcedDay(t, playLossOfTheLeader) }

// TestAllGatewaysRestartedWithAnnouncedRunners: nobody has a list after it, until the
// runners have told of themselves.
func TestAllGatewaysRestartedWithAnnouncedRunners(t *testing.T) {
	announcedDay(t, func(c *Cluster, load *gatewayLoad) {
		all := c.nodeNames(gatewayRole)
		c.Restart(300*time.Millisecond, all...)
		time.Sleep(3 * time.Second)
		begin := time.Now()
		load.run(3*time.Second, all...)
		load.wantServed("after the restart", begin, 1)
	})
}
