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
	// narrowRate is the rate of a link that narrows, in bytes a second each way: half of
	// what the operators' narrowed links carry at the least.
	narrowRate = 625_000
	// narrowFor is how long links are narrow.
	narrowFor = 20 * time.Second
	// narrowRoutes is how many routes the configurations have that come meanwhile: some 70
	// KB, a ninth of a second of such a link.
	narrowRoutes = 600
)

// manyRoutes is a part of a configuration with many routes.
func manyRoutes(version int) string {
	var text strings.Builder
	for i := range narrowRoutes {
		fmt.Fprintf(&text, `,{"name":"x%d","hostName":"x%d","pathPrefix":"/x%d/","kind":"writing","timeoutMs":%d,"targetService":"svc","maxTries":2}`, i, i, i, 1000+version)
	}
	return text.String()
}

// TestNarrowLinks: behind links that are narrow for 20 s, while large configurations come,
// jobs run, clients upload and a zone is evacuated and taken back, no lease lapses and
// leadership stays, but for one leadership transfer.
func TestNarrowLinks(t *testing.T) {
	for name, narrow := range map[string]func(c *Cluster) []string{
		"leader":         func(c *Cluster) []string { return []string{c.Leader()} },
		"follower":       func(c *Cluster) []string { return without(c.Servers(), c.Leader())[:1] },
		"edge":           func(c *Cluster) []string { return []string{c.nodesExcept(edgeRole, c.Servers()...)[0]} },
		"agents":         func(c *Cluster) []string { return c.nodeNames(agentRole)[:2] },
		"half of all":    func(c *Cluster) []string { return everySecond(c.nodeNames("")) },
		"all but leader": func(c *Cluster) []string { return without(c.nodeNames(""), c.Leader()) },
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, ClusterSpec{Servers: 5, Edges: 2, Agents: 6, Zones: 3}, 1, func(s *scenario) {
				var elected, lapsed atomic.Int32
				observe := func(line string) {
					switch {
					case strings.Contains(line, "event=leader.elected"):
						elected.Add(1)
					case strings.Contains(line, "event=lease.expired"):
						lapsed.Add(1)
					}
				}
				s.onLog.Store(&observe)
				for _, node := range narrow(s.Cluster) {
					s.Network.SetRate(s.NodeIP(node), narrowRate)
					defer s.Network.SetRate(s.NodeIP(node), 0)
				}
				s.liveWithNarrowLinks(t)
				if elected.Load() > 1 || lapsed.Load() > 0 {
					t.Errorf("%d changes of leader, %d leases lapsed", elected.Load(), lapsed.Load())
				}
			})
		})
	}
}

// liveWithNarrowLinks has operators and clients go on for narrowFor.
func (s *scenario) liveWithNarrowLinks(t *testing.T) {
	edges := s.nodeNames(edgeRole)
	until := time.Now().Add(narrowFor)
	worst := time.Duration(0)
	for i := 0; time.Now().Before(until); i++ {
		order := []string{"Begin", "Finish"}[i%2]
		s.orderEvacuation(edges[i%len(edges)], order)
		base := int(s.lastVersion.Load())
		s.lastVersion.Store(int64(base + 1))
		begin := time.Now()
		attempt := i
		s.WaitUntil("a large configuration is accepted", ackBound, func() bool {
			attempt++ // an operator turns to another daemon
			return s.PutConfiguration(edges[attempt%len(edges)], base+1, base, manyRoutes(base+1)) == http.StatusOK
		})
		worst = max(worst, time.Since(begin))
		time.Sleep(3 * time.Second)
	}
	s.orderEvacuation(edges[0], "Finish")
	t.Logf("a configuration was accepted after %v at the latest", worst)
}

// everySecond returns every second one of some names.
func everySecond(names []string) []string {
	var some []string
	for i := 0; i < len(names); i += 2 {
		some = append(some, names[i])
	}
	return some
}
