package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// tallyMergeTime is the setting mergeMs of the cluster.
const tallyMergeTime = 3 * time.Second

// tallyCallers add to a tally at all nodes and check the totals that nodes return.
type tallyCallers struct {
	c       *Cluster
	running sync.WaitGroup
	stop    context.CancelFunc

	mu             sync.Mutex
	sent           map[string]int64          // amounts of all adds that were ever sent, by ID
	acknowledged   map[string]time.Time      // when any node first acknowledged an add, by ID
	acknowledgedBy map[string]map[string]int // generation of the node at which it acknowledged an add, by node and ID
	generations    map[string]int            // number of recorded restarts, by node
	failed         int                       // calls that were not answered with 200
	calls          int
}

const tallyName = "t1"

// newTallyCallers creates callers that make no calls on their own.
func (c *Cluster) newTallyCallers() *tallyCallers {
	callers := &tallyCallers{c: c, stop: func() {}, sent: map[string]int64{}, acknowledged: map[string]time.Time{}, acknowledgedBy: map[string]map[string]int{}, generations: map[string]int{}}
	for _, node := range c.nodeNames(edgeRole) {
		callers.acknowledgedBy[node] = map[string]int{}
	}
	return callers
}

// startTallyCallers starts a caller for each node.
func (c *Cluster) startTallyCallers() *tallyCallers {
	callers := c.newTallyCallers()
	var ctx context.Context
	ctx, callers.stop = context.WithCancel(context.Background())
	for i, node := range c.nodeNames(edgeRole) {
		callers.running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				callers.addOnce(i, n)
				callers.read(node)
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	return callers
}

// addOnce adds an amount under a new ID. It retries with the same ID at the next nodes
// until one acknowledges the add, with three attempts in total.
func (l *tallyCallers) addOnce(caller, n int) {
	id := fmt.Sprintf("%04d%012d", caller, n)
	l.mu.Lock()
	l.sent[id] = int64(1 + n%7)
	l.mu.Unlock()
	nodes := l.c.nodeNames(edgeRole)
	for attempt := range 3 {
		if l.add(nodes[(caller+attempt)%len(nodes)], id) {
			return
		}
	}
}

// add makes one call and reports whether it was acknowledged.
func (l *tallyCallers) add(node, id string) bool {
	l.mu.Lock()
	generation, amount := l.generations[node], l.sent[id]
	l.calls++
	l.mu.Unlock()
	code, _, _ := l.c.requestFrom(l.c.client, time.Second, http.MethodPost, l.c.nodeURL(node, controlPort, "/-/Tallies.Change/"+tallyName), "", protocol.TallyChange{ID: id, Amount: amount}, nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	if code != http.StatusOK {
		l.failed++
		return false
	}
	if _, known := l.acknowledged[id]; !known {
		l.acknowledged[id] = time.Now()
	}
	if generation == l.generations[node] {
		l.acknowledgedBy[node][id] = generation
	}
	return true
}

// read reads the tally at a node and checks the total: it must not exceed the sum of
// all amounts ever sent (TWICE), and must include all adds that the node has
// acknowledged since its last restart (STALE).
func (l *tallyCallers) read(node string) {
	l.mu.Lock()
	generation, minTotal := l.generations[node], int64(0)
	for id, acknowledgedGeneration := range l.acknowledgedBy[node] {
		if acknowledgedGeneration == generation {
			minTotal += l.sent[id]
		}
	}
	l.mu.Unlock()
	total, ok := l.total(node)
	l.mu.Lock()
	defer l.mu.Unlock()
	maxTotal := int64(0)
	for _, amount := range l.sent {
		maxTotal += amount
	}
	if ok && generation == l.generations[node] && (total < minTotal || total > maxTotal) {
		l.c.T.Errorf("%s returned total %d, want at least %d, which it acknowledged, and at most %d, which were sent", node, total, minTotal, maxTotal)
	}
}

// total reads the tally at a node.
func (l *tallyCallers) total(node string) (int64, bool) {
	code, body, _ := l.c.requestFrom(l.c.client, time.Second, http.MethodGet, l.c.nodeURL(node, controlPort, "/-/Tallies.Read/"+tallyName), "", nil, nil)
	var answer protocol.TallyResponse
	if code != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return 0, false
	}
	return answer.Total, true
}

// restarted records a restart of nodes: each begins a new generation.
func (l *tallyCallers) restarted(nodes ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, node := range nodes {
		l.generations[node]++
	}
}

// requireMerged stops the callers and requires that, mergeMs later, every node returns
// a total that includes all acknowledged adds.
func (l *tallyCallers) requireMerged() {
	l.c.T.Helper()
	l.stop()
	l.running.Wait()
	time.Sleep(tallyMergeTime)
	minTotal, maxTotal := int64(0), int64(0)
	for id, amount := range l.sent {
		maxTotal += amount
		if _, acknowledged := l.acknowledged[id]; acknowledged {
			minTotal += amount
		}
	}
	for _, node := range l.c.nodeNames(edgeRole) {
		total, ok := l.total(node)
		if !ok || total < minTotal || total > maxTotal {
			l.c.T.Errorf("%s returned total %d (%v), want at least %d, which were acknowledged, and at most %d, which were sent", node, total, ok, minTotal, maxTotal)
		}
	}
	l.c.T.Logf("%d calls, %d not answered with 200", l.calls, l.failed)
}

// inZone returns the nodes inside and outside of a zone.
func (c *Cluster) inZone(zone string) (inside, outside []string) {
	for _, name := range c.nodeNames("") {
		if c.node(name).zone == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	return inside, outside
}

// isolateZone partitions a zone from the others. The returned function heals the
// partition.
func (c *Cluster) isolateZone(zone string) (heal func()) {
	inside, outside := c.inZone(zone)
	for _, name := range inside {
		c.SetPartition(name, true, outside...)
	}
	return func() {
		for _, name := range inside {
			c.SetPartition(name, false, outside...)
		}
	}
}

// damageTallies zeroes a part of the tally file of a server that is not running.
func (c *Cluster) damageTallies(name string) {
	c.T.Helper()
	path := filepath.Join(c.dir, name, "tallies.db")
	content, err := os.ReadFile(path)
	if err != nil {
		c.T.Fatal(err)
	}
	clear(content[len(content)/8 : len(content)/2])
	if err := os.WriteFile(path, content, 0o600); err != nil {
		c.T.Fatal(err)
	}
}

// TestTalliesAcrossPartitions: tallies stay available on each side of a partition, also
// when servers fail meanwhile, and converge soon after it has healed.
func TestTalliesAcrossPartitions(t *testing.T) {
	spec := ClusterSpec{Servers: 6, Edges: 3, Agents: 3, Zones: 3, ToleratedLosses: 2, Tallies: true}
	for name, fault := range map[string]func(t *testing.T, c *Cluster, l *tallyCallers){
		"no fault": func(*testing.T, *Cluster, *tallyCallers) { time.Sleep(5 * time.Second) },
		"long partition": func(t *testing.T, c *Cluster, l *tallyCallers) {
			heal := c.isolateZone("z1")
			time.Sleep(3 * time.Second)
			l.mu.Lock()
			calls, failed := l.calls, l.failed
			l.mu.Unlock()
			time.Sleep(60 * time.Second)
			l.mu.Lock()
			defer l.mu.Unlock()
			if share := float64(l.failed-failed) / float64(l.calls-calls); share > 0.02 {
				t.Errorf("fraction of failed calls while the zone is partitioned: %.3f, want at most 0.02", share)
			}
			heal()
		},
		"kills during a partition": func(_ *testing.T, c *Cluster, l *tallyCallers) {
			heal := c.isolateZone("z1")
			time.Sleep(3 * time.Second)
			inside, _ := c.inZone("z1")
			for _, node := range inside[:2] {
				l.restarted(node)
				c.Restart(time.Second, node)
				l.restarted(node)
				time.Sleep(2 * time.Second)
			}
			heal()
		},
		"disks wiped": func(_ *testing.T, c *Cluster, l *tallyCallers) {
			for _, node := range c.Servers()[:2] {
				l.restarted(node)
				c.restartWiped(500*time.Millisecond, node)
				l.restarted(node)
				time.Sleep(7 * time.Second)
			}
		},
		"file damaged during a partition": func(t *testing.T, c *Cluster, l *tallyCallers) {
			heal := c.isolateZone("z1")
			time.Sleep(3 * time.Second)
			for _, node := range c.Servers()[:2] {
				l.restarted(node)
				c.Kill(node)
				c.damageTallies(node)
				time.Sleep(500 * time.Millisecond)
				c.Start(node)
				l.restarted(node)
				time.Sleep(7 * time.Second)
				if _, err := os.Stat(filepath.Join(c.dir, node, "tallies.db.foreign")); err != nil {
					t.Errorf("damaged tally file was not quarantined: %v", err)
				}
			}
			heal()
		},
		"repeated partitions": func(_ *testing.T, c *Cluster, _ *tallyCallers) {
			for _, zone := range []string{"z0", "z1", "z2", "z0"} {
				heal := c.isolateZone(zone)
				time.Sleep(2500 * time.Millisecond)
				heal()
			}
		},
		"partial partition": func(_ *testing.T, c *Cluster, _ *tallyCallers) {
			// z0 and z1 can't reach each other, while z2 reaches both.
			z0, _ := c.inZone("z0")
			z1, _ := c.inZone("z1")
			for _, name := range z0 {
				c.SetPartition(name, true, z1...)
			}
			time.Sleep(10 * time.Second)
			for _, name := range z0 {
				c.SetPartition(name, false, z1...)
			}
		},
		"all nodes killed": func(_ *testing.T, c *Cluster, l *tallyCallers) {
			l.restarted(c.nodeNames(edgeRole)...)
			c.Restart(time.Second, c.nodeNames(edgeRole)...)
			l.restarted(c.nodeNames(edgeRole)...)
			time.Sleep(5 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, spec, func(t *testing.T, c *Cluster) {
				callers := c.startTallyCallers()
				time.Sleep(3 * time.Second)
				fault(t, c, callers)
				time.Sleep(2 * time.Second)
				callers.requireMerged()
				c.requireNoViolations()
			})
		})
	}
}

// requireAdd requires that each server returns a total with an add that a victim acknowledged. The
// amounts of all adds must be different powers of two.
func (l *tallyCallers) requireAdd(id, victim string) {
	l.c.T.Helper()
	for _, node := range l.c.Servers() {
		if total, ok := l.total(node); !ok || total&l.sent[id] == 0 {
			l.c.T.Errorf("LOST: %s returned total %d (%v) without the add of %d that %s acknowledged", node, total, ok, l.sent[id], victim)
		}
	}
}

// TestAcknowledgedAddsSurviveServerLoss: messages of a server to the other servers are
// slow, but not those to its caller. It acknowledges an add and loses its disk
// immediately afterwards. The add must already be on another disk.
func TestAcknowledgedAddsSurviveServerLoss(t *testing.T) {
	spec := ClusterSpec{Servers: 3, Edges: 1, Agents: 1, ToleratedLosses: 1, Tallies: true}
	withCluster(t, spec, func(t *testing.T, c *Cluster) {
		callers := c.newTallyCallers()
		time.Sleep(3 * time.Second)
		for round, victim := range c.Servers() {
			id := fmt.Sprintf("last%012d", round)
			callers.sent[id] = 1 << (10 + round)
			others := without(c.Servers(), victim)
			for _, other := range others {
				c.Network.SetDelay(c.NodeIP(other), 100*time.Millisecond)
			}
			c.WaitUntil("the add is acknowledged", 5*time.Second, func() bool { return callers.add(victim, id) })
			c.SetPartition(victim, true, without(c.nodeNames(""), victim)...)
			c.restartWiped(500*time.Millisecond, victim)
			c.SetPartition(victim, false, without(c.nodeNames(""), victim)...)
			for _, other := range others {
				c.Network.SetDelay(c.NodeIP(other), 0)
			}
			callers.restarted(victim)
			time.Sleep(5 * time.Second)
			callers.requireAdd(id, victim)
		}
		callers.requireMerged()
		c.requireNoViolations()
	})
}

// TestAddsOfWipedServerSurviveNextLoss: a server that comes back with an empty disk acknowledges adds
// before it knows the other servers, and loses its disk again at once. The adds must already be on
// another disk.
func TestAddsOfWipedServerSurviveNextLoss(t *testing.T) {
	spec := ClusterSpec{Servers: 3, Edges: 1, Agents: 1, ToleratedLosses: 1, Tallies: true}
	withCluster(t, spec, func(t *testing.T, c *Cluster) {
		callers := c.newTallyCallers()
		time.Sleep(3 * time.Second)
		for round, victim := range c.Servers() {
			id := fmt.Sprintf("wiped%011d", round)
			callers.sent[id] = 1 << (10 + round)
			c.restartWiped(500*time.Millisecond, victim)
			c.WaitUntil("the add is acknowledged", 5*time.Second, func() bool { return callers.add(victim, id) })
			c.restartWiped(500*time.Millisecond, victim)
			callers.restarted(victim)
			time.Sleep(5 * time.Second)
			callers.requireAdd(id, victim)
		}
		callers.requireMerged()
		c.requireNoViolations()
	})
}
