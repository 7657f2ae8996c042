package simulation

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// narrowRate is the rate of a narrow link, in bytes a second each way: half of the
	// minimum that operators provide on narrow links.
	narrowRate = 625_000
	// narrowDuration is how long links are narrow.
	narrowDuration = 20 * time.Second
	// narrowRoutes is the number of routes in each configuration that is sent
	// meanwhile: about 70 KB, which take a ninth of a second on such a link.
	narrowRoutes = 600
)

// manyRoutes returns the routes of a large configuration.
func manyRoutes(version int) string {
	var text strings.Builder
	for i := range narrowRoutes {
		fmt.Fprintf(&text, `,{"name":"x%d","hostName":"x%d","pathPrefix":"/x%d/","kind":"writing","timeoutMs":%d,"targetService":"svc","maxTries":2}`, i, i, i, 1000+version)
	}
	return text.String()
}

// TestNarrowLinks: links are narrow for 20 s while large configurations are sent, jobs
// run, clients upload, and a zone is evacuated and restored. No lease expires, and
// there is at most one leadership transfer.
func TestNarrowLinks(t *testing.T) {
	for name, narrow := range map[string]func(c *Cluster) []string{
		"leader":         func(c *Cluster) []string { return []string{c.Leader()} },
		"follower":       func(c *Cluster) []string { return without(c.Servers(), c.Leader())[:1] },
		"edge":           func(c *Cluster) []string { return []string{c.nodesExcept(edgeRole, c.Servers()...)[0]} },
		"agents":         func(c *Cluster) []string { return c.nodeNames(agentRole)[:2] },
		"half of all":    func(c *Cluster) []string { return everyOther(c.nodeNames("")) },
		"all but leader": func(c *Cluster) []string { return without(c.nodeNames(""), c.Leader()) },
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, ClusterSpec{Servers: 5, Edges: 2, Agents: 6, Zones: 3}, 1, func(s *scenario) {
				var elected, expired atomic.Int32
				observe := func(line string) {
					switch {
					case strings.Contains(line, "event=leader.elected"):
						elected.Add(1)
					case strings.Contains(line, "event=lease.expired"):
						expired.Add(1)
					}
				}
				s.onLog.Store(&observe)
				for _, node := range narrow(s.Cluster) {
					s.Network.SetRate(s.NodeIP(node), narrowRate)
					defer s.Network.SetRate(s.NodeIP(node), 0)
				}
				s.operateOverNarrowLinks(t)
				if elected.Load() > 1 || expired.Load() > 0 {
					t.Errorf("%d leaders elected, want at most 1; %d leases expired, want 0", elected.Load(), expired.Load())
				}
			})
		})
	}
}

// operateOverNarrowLinks has operators order evacuations and send configurations for
// narrowDuration.
func (s *scenario) operateOverNarrowLinks(t *testing.T) {
	edges := s.nodeNames(edgeRole)
	end := time.Now().Add(narrowDuration)
	worst := time.Duration(0)
	for i := 0; time.Now().Before(end); i++ {
		order := []string{"Begin", "Finish"}[i%2]
		s.requestEvacuation(edges[i%len(edges)], order)
		base := int(s.lastVersion.Load())
		s.lastVersion.Store(int64(base + 1))
		begin := time.Now()
		attempt := i
		s.WaitUntil("a large configuration is accepted", ackBound, func() bool {
			attempt++ // an operator retries at another daemon
			return s.PutConfiguration(edges[attempt%len(edges)], base+1, base, manyRoutes(base+1)) == http.StatusOK
		})
		worst = max(worst, time.Since(begin))
		time.Sleep(3 * time.Second)
	}
	s.requestEvacuation(edges[0], "Finish")
	t.Logf("slowest configuration change was accepted after %v", worst)
}

// everyOther returns every other name, starting with the first.
func everyOther(names []string) []string {
	var selected []string
	for i := 0; i < len(names); i += 2 {
		selected = append(selected, names[i])
	}
	return selected
}
