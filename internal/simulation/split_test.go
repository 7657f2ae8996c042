package simulation

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// secondService is the service of every other runner in TestTrafficSplitUnderFaults.
const secondService = "svc-2"

// changeServices has the operator replace the configuration until it is acknowledged. The services of
// its only route are given as JSON fields.
func (c *Cluster) changeServices(version int, services string) {
	c.T.Helper()
	text := strings.NewReplacer(`"targetService":"svc"`, services, `"serviceList":[`, `"serviceList":[{"name":"`+secondService+`","guards":true},`).
		Replace(configurationText(version, ""))
	c.WaitUntil(fmt.Sprintf("configuration %d is accepted", version), 10*time.Second, func() bool {
		return c.putConfigurationText(disklessEdge, version, version-1, text) == http.StatusOK
	})
}

// TestTrafficSplitUnderFaults guards against accepted jobs that never start another task after a
// change of their route between one service and a traffic split, there, back and repeated, while
// servers and agents fail. All jobs must end.
func TestTrafficSplitUnderFaults(t *testing.T) {
	split := func(first, second int) string {
		return fmt.Sprintf(`"trafficSplit":[{"targetService":"svc","share":%d},{"targetService":"%s","share":%d}]`, first, secondService, second)
	}
	for name, fault := range map[string]func(c *Cluster){
		"no fault":           func(*Cluster) {},
		"leader lost":        func(c *Cluster) { c.Restart(time.Second, c.Leader()) },
		"all servers killed": func(c *Cluster) { c.Restart(300*time.Millisecond, c.Servers()...) },
		"agents restart":     func(c *Cluster) { c.Restart(300*time.Millisecond, "side-2", "side-4") },
		"a disk is lost":     func(c *Cluster) { c.restartWiped(500*time.Millisecond, without(c.Servers(), c.Leader())[0]) },
	} {
		t.Run(name, func(t *testing.T) {
			runWithFault(t, ClusterSpec{Servers: 3, Edges: 1, Agents: 4}, func(c *Cluster) {
				c.failOnDivergence()
				for _, agent := range []string{"side-2", "side-4"} {
					c.Runners[agent].update(func() { c.Runners[agent].Service = secondService })
					c.Runners[agent].Crash() // its next incarnation has the other service
				}
				for i, services := range []string{split(90, 10), `"targetService":"svc"`, split(10, 90), split(0, 1), split(50, 50)} {
					c.changeServices(i+2, services)
					if i == 2 {
						fault(c)
					}
					time.Sleep(700 * time.Millisecond)
				}
			}, nil)
		})
	}
}
