package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/admin"
	"tealpond/internal/protocol"
	"tealpond/internal/timing"
)

// gatewayConfiguration is the format of a gateway configuration: it takes the version
// and more routes.
const gatewayConfiguration = `{"configVersion":%d,"routeList":[` +
	`{"name":"r","hostName":"h","pathPrefix":"/read/","kind":"read_only","timeoutMs":2000,"targetMs":500,"targetService":"svc","maxTries":3},` +
	`{"name":"w","hostName":"h","pathPrefix":"/write/","kind":"writing","timeoutMs":2000,"targetMs":500,"targetService":"svc","maxTries":3}%s],` +
	`"serviceList":[{"name":"svc"}],"limits":{"maxHeaderBytes":4000,"maxBodyBytes":100000}}`

// gatewayLoad sends requests to a cluster of gateways and records the outcomes.
type gatewayLoad struct {
	c      *Cluster
	random *rand.Rand
	wait   sync.WaitGroup

	mu       sync.Mutex
	attempts []gatewayAttempt
}

// gatewayAttempt is one request of a client and its outcome.
type gatewayAttempt struct {
	id, path, node string
	sentAt         time.Time
	code           int
	took           time.Duration
	problem        string // what is wrong with the response; empty if nothing
}

// runGatewayTest runs a test on a ready cluster of gateways with four runners in two
// zones.
func runGatewayTest(t *testing.T, test func(c *Cluster, load *gatewayLoad)) {
	t.Helper()
	runGatewayTestOn(t, ClusterSpec{Servers: 3, Edges: 3, Zones: 2, Gateway: true}, test)
}

// runGatewayTestOn is runGatewayTest with a given cluster specification.
func runGatewayTestOn(t *testing.T, spec ClusterSpec, test func(c *Cluster, load *gatewayLoad)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, spec)
		defer c.Shutdown()
		defer c.platform.Close()
		for i := range 4 {
			c.platform.StartRunner("svc", fmt.Sprint("z", i%2))
		}
		c.putGatewayConfiguration(1, 0, "")
		load := &gatewayLoad{c: c, random: rand.New(rand.NewPCG(1, 2))}
		c.WaitUntil("all gateways serve", 10*time.Second, func() bool { return load.allServe("/read/") })
		test(c, load)
		load.wait.Wait()
		load.check()
	})
}

// putGatewayConfiguration sends a configuration until a daemon accepts it.
func (c *Cluster) putGatewayConfiguration(version, base int, moreRoutes string) {
	c.T.Helper()
	c.WaitUntil(fmt.Sprintf("configuration %d is accepted", version), 20*time.Second, func() bool {
		for _, node := range c.nodeNames(gatewayRole) {
			code, _, _ := c.request(http.MethodPost, c.nodeURL(node, controlPort, "/-/Config.Replace"), "", fmt.Sprintf(gatewayConfiguration, version, moreRoutes), map[string]string{protocol.HeaderBasedOn: fmt.Sprint(base)})
			if code == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// allServe reports whether every daemon serves a path prefix.
func (l *gatewayLoad) allServe(prefix string) bool {
	for _, node := range l.c.nodeNames(gatewayRole) {
		if l.send(node, prefix).code != http.StatusOK {
			return false
		}
	}
	return true
}

// send sends a request to a daemon and records the outcome.
func (l *gatewayLoad) send(node, prefix string) gatewayAttempt {
	l.mu.Lock()
	id := fmt.Sprintf("%08x", len(l.attempts))
	attempt := gatewayAttempt{id: id, path: prefix + id, node: node, sentAt: time.Now()}
	l.attempts = append(l.attempts, attempt)
	index := len(l.attempts) - 1
	l.mu.Unlock()
	method, body := http.MethodGet, ""
	if strings.HasPrefix(prefix, "/write/") {
		method, body = http.MethodPost, "body"
	}
	code, raw, header := l.c.request(method, l.c.nodeURL(node, clientPort, attempt.path), "h", body, map[string]string{protocol.HeaderAttemptID: id, protocol.HeaderTimeLeft: "2000"})
	attempt.code, attempt.took = code, time.Since(attempt.sentAt)
	if want := fmt.Sprintf("%s %s %d", id, attempt.path, len(body)); code == http.StatusOK && string(raw) != want {
		attempt.problem = fmt.Sprintf("response is %q, want %q", raw, want)
	}
	if code == http.StatusServiceUnavailable && header.Get(protocol.HeaderRetryAfter) == "" {
		attempt.problem = "response 503 without Retry-After"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[index] = attempt
	return attempt
}

// sendFor sends requests to randomly chosen daemons for some time, alternating reads and
// writes.
func (l *gatewayLoad) sendFor(duration time.Duration, nodes ...string) {
	const pause = 20 * time.Millisecond
	for i := range int(duration / pause) {
		node, prefix := nodes[l.random.IntN(len(nodes))], []string{"/read/", "/write/"}[i%2]
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			l.send(node, prefix)
		}()
		time.Sleep(pause)
	}
}

// check verifies all attempts: a write ran at most once, a request that was answered
// with 503 did not run, a request that was answered with 200 ran, and each response
// belongs to its request.
func (l *gatewayLoad) check() {
	l.c.T.Helper()
	for _, attempt := range l.attempts {
		runs := l.c.platform.RunCount(attempt.id)
		if attempt.problem != "" {
			l.c.T.Errorf("%s at %s: %s", attempt.path, attempt.node, attempt.problem)
		}
		if strings.HasPrefix(attempt.path, "/write/") && runs > 1 {
			l.c.T.Errorf("%s at %s ran %d times", attempt.path, attempt.node, runs)
		}
		if attempt.code == http.StatusServiceUnavailable && runs > 0 {
			l.c.T.Errorf("%s at %s ran although the client got 503", attempt.path, attempt.node)
		}
		if attempt.code == http.StatusOK && runs == 0 {
			l.c.T.Errorf("%s at %s got 200 but never ran", attempt.path, attempt.node)
		}
	}
}

// served returns the fraction of the attempts since a time that were answered with 200.
func (l *gatewayLoad) served(since time.Time) float64 {
	l.wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	served, all := 0, 0
	for _, attempt := range l.attempts {
		if attempt.sentAt.Before(since) {
			continue
		}
		all++
		if attempt.code == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(all, 1))
}

// requireServed fails the test if less than a fraction of the attempts since a time was
// served.
func (l *gatewayLoad) requireServed(what string, since time.Time, part float64) {
	l.c.T.Helper()
	if got := l.served(since); got < part {
		l.c.T.Errorf("%s: served fraction is %.3f, want at least %.3f", what, got, part)
	}
}

// TestGatewayDuringRunnerChurn: while runners are replaced, crash and restart, requests
// go to the available ones.
func TestGatewayDuringRunnerChurn(t *testing.T) {
	runGatewayTest(t, func(c *Cluster, load *gatewayLoad) {
		all := c.nodeNames(gatewayRole)
		begin := time.Now()
		c.platform.Drain("i-01")
		c.platform.StartRunner("svc", "z0")
		load.sendFor(4*time.Second, all...)
		load.requireServed("one replaced", begin, 1)
		begin = time.Now()
		time.AfterFunc(time.Second, func() { c.platform.Crash("i-02", 3*time.Second) })
		time.AfterFunc(2*time.Second, func() { c.platform.Crash("i-03", 3*time.Second) })
		load.sendFor(5*time.Second, all...)
		load.requireServed("two crashed", begin, 0.95) // writes in flight are lost
		begin = time.Now()
		load.sendFor(2*time.Second, all...)
		load.requireServed("afterwards", begin, 1)
	})
}

// TestGatewayWithoutLeader: daemons keep serving from the state they have while there
// is no leader, while they are partitioned from the servers, and until a new leader has
// read the list of runners.
func TestGatewayWithoutLeader(t *testing.T) { runGatewayTest(t, runLeaderLoss) }

// runLeaderLoss kills the leader, replaces all runners under the next leader, and
// partitions a daemon from the servers. All client requests must be served.
func runLeaderLoss(c *Cluster, load *gatewayLoad) {
	leader := c.Leader()
	others := c.nodesExcept(gatewayRole, leader)
	begin := time.Now()
	c.Kill(leader)
	load.sendFor(3*time.Second, others...)
	load.requireServed("without the leader", begin, 1)
	c.platform.StartRunner("svc", "z0")
	for _, old := range []string{"i-01", "i-02", "i-03", "i-04"} {
		c.platform.Drain(old)
	}
	c.platform.StartRunner("svc", "z1")
	begin = time.Now()
	load.sendFor(6*time.Second, others...)
	load.requireServed("all runners replaced under the next leader", begin, 1)
	c.Start(leader)
	begin = time.Now()
	c.partitionFor(4*time.Second, "edge-6", c.Servers()...)
	load.sendFor(6*time.Second, "edge-6")
	load.requireServed("partitioned from the servers", begin, 1)
}

// TestGatewayAppliesConfigurationChanges: every daemon soon serves new routes, and
// answers 404 only if it is certain that a route does not exist.
func TestGatewayAppliesConfigurationChanges(t *testing.T) {
	runGatewayTest(t, func(c *Cluster, load *gatewayLoad) {
		// This daemon receives changes late and must ask a server before it answers 404.
		c.Network.SetDelay(c.NodeIP("edge-6"), 150*time.Millisecond)
		for version := 2; version < 8; version++ {
			route := fmt.Sprintf(`,{"name":"n%d","hostName":"h","pathPrefix":"/new%d/","kind":"read_only","timeoutMs":2000,"targetService":"svc","maxTries":2}`, version, version)
			if version == 5 {
				c.Kill(c.Leader())
			}
			c.putGatewayConfiguration(version, version-1, route)
			c.WaitUntil("all running daemons serve the new route", 3*time.Second, func() bool {
				for _, node := range c.nodeNames(gatewayRole) {
					attempt := load.send(node, fmt.Sprintf("/new%d/", version))
					if attempt.code == http.StatusNotFound {
						c.T.Errorf("%s answers 404 for a route in force", node)
					}
					if attempt.code != http.StatusOK && attempt.code != 0 {
						return false
					}
				}
				return true
			})
		}
		for _, node := range c.nodeNames(gatewayRole) {
			if attempt := load.send(node, "/new2/"); attempt.code != http.StatusNotFound && attempt.code != 0 {
				c.T.Errorf("%s answers %d for a removed route, want 404", node, attempt.code)
			}
		}
	})
}

// TestAllGatewaysRestarted: requests that arrive before a daemon has loaded its
// configuration wait for it and are then served.
func TestAllGatewaysRestarted(t *testing.T) {
	runGatewayTest(t, func(c *Cluster, load *gatewayLoad) {
		all := c.nodeNames(gatewayRole)
		c.Restart(300*time.Millisecond, all...)
		begin := time.Now()
		load.sendFor(2*time.Second, all...)
		load.requireServed("right after the restart", begin, 0.9)
		begin = time.Now()
		load.sendFor(2*time.Second, all...)
		load.requireServed("afterwards", begin, 1)
	})
}

// TestRunnerListReadFromLeader: the admin interface of the leader lists the runners of
// the platform with the latencies that daemons observed. An unreachable leader is
// reported as such.
func TestRunnerListReadFromLeader(t *testing.T) {
	runGatewayTest(t, func(c *Cluster, load *gatewayLoad) {
		load.sendFor(2*time.Second, c.nodeNames(gatewayRole)...)
		cluster, err := admin.FetchLeaderState(c.adminContext(), []string{c.nodeAddress("edge-6", daemonPort)})
		if err != nil || !cluster.IsLeader {
			t.Fatalf("leader: %v, %v, want true", cluster.IsLeader, err)
		}
		for _, table := range cluster.Tables {
			if table.Name != "runners" {
				continue
			}
			if len(table.Rows) != 4 {
				t.Errorf("%d runners, want 4", len(table.Rows))
			}
			for _, row := range table.Rows {
				if latency := fmt.Sprint(row[6]); latency == "0" {
					t.Errorf("runner %v has no latency", row[0])
				}
			}
		}
		remaining := c.Servers()[2]
		for _, server := range c.Servers()[:2] {
			c.Kill(server)
		}
		time.Sleep(2 * timing.QuorumLossTimeout) // the remaining server may have been the leader
		if _, err := admin.FetchLeaderState(c.adminContext(), []string{c.nodeAddress(remaining, daemonPort)}); !errors.Is(err, admin.ErrUnreachable) {
			t.Errorf("without a leader: error is %v, want ErrUnreachable", err)
		}
	})
}
