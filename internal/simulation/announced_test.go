package simulation

import (
	"testing"
	"time"
)

// runAnnouncedGatewayTest runs a test on gateways whose runners register by heartbeats.
func runAnnouncedGatewayTest(t *testing.T, test func(c *Cluster, load *gatewayLoad)) {
	t.Helper()
	runGatewayTestOn(t, ClusterSpec{Servers: 3, Edges: 3, Zones: 2, Gateway: true, Announced: true}, test)
}

// TestAnnouncedRunnersJoinAndLeave checks that runners that no platform lists are used as soon
// as they announce themselves, are not used once they announce that they drain, and are removed
// when their heartbeats stop.
func TestAnnouncedRunnersJoinAndLeave(t *testing.T) {
	runAnnouncedGatewayTest(t, func(c *Cluster, load *gatewayLoad) {
		all := c.nodeNames(gatewayRole)
		begin := time.Now()
		c.platform.Drain("i-01")
		c.platform.StartRunner("svc", "z0")
		load.sendFor(5*time.Second, all...)
		load.requireServed("one runner replaced", begin, 1)
		begin = time.Now()
		time.AfterFunc(time.Second, func() { c.platform.Crash("i-02", 0) })
		load.sendFor(5*time.Second, all...)
		load.requireServed("one runner crashed", begin, 0.95) // writes in progress are lost
		begin = time.Now()
		load.sendFor(2*time.Second, all...)
		load.requireServed("after the crash", begin, 1)
	})
}

// TestAnnouncedRunnersUnderTheNextLeader checks that daemons keep using their list of runners
// until the next leader has received the runners' heartbeats, and that an isolated daemon does so
// too. All runners are replaced meanwhile.
func TestAnnouncedRunnersUnderTheNextLeader(t *testing.T) { runAnnouncedGatewayTest(t, runLeaderLoss) }

// TestAllGatewaysRestartedWithAnnouncedRunners restarts all gateways, after which no daemon has
// a list until the runners have announced themselves again.
func TestAllGatewaysRestartedWithAnnouncedRunners(t *testing.T) {
	runAnnouncedGatewayTest(t, func(c *Cluster, load *gatewayLoad) {
		all := c.nodeNames(gatewayRole)
		c.Restart(300*time.Millisecond, all...)
		time.Sleep(3 * time.Second)
		begin := time.Now()
		load.sendFor(3*time.Second, all...)
		load.requireServed("after the restart", begin, 1)
	})
}
