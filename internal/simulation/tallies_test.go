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

// mergeTime is mergeMs of the operators.
const mergeTime = 3 * time.Second

// tallyCallers add to tallies at all nodes, and hold what they are shown against the rules.
type tallyCallers struct {
	c       *Cluster
	running sync.WaitGroup
	stop    context.CancelFunc

	mu     sync.Mutex
	sent   map[string]int64          // amounts by ID, of all that were ever sent
	kept   map[string]time.Time      // when an ID was first acknowledged, by any node
	byNode map[string]map[string]int // IDs that a node acknowledged, by its lives
	lives  map[string]int
	failed int // calls without a good answer
	calls  int
}

const tallyName = "t1"

// newTallyCallers makes callers that don't call by themselves.
func (c *Cluster) newTallyCallers() *tallyCallers {
	callers := &tallyCallers{c: c, stop: func() {}, sent: map[string]int64{}, kept: map[string]time.Time{}, byNode: map[string]map[string]int{}, lives: map[string]int{}}
	for _, node := range c.nodeNames(edgeRole) {
		callers.byNode[node] = map[string]int{}
	}
	return callers
}

// startTallyCallers starts a caller at each node.
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

// addOnce adds under a new ID; without a good answer the same goes to the next nodes.
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

// add makes one call.
func (l *tallyCallers) add(node, id string) bool {
	l.mu.Lock()
	life, amount := l.lives[node], l.sent[id]
	l.calls++
	l.mu.Unlock()
	code, _, _ := l.c.requestFrom(l.c.client, time.Second, http.MethodPost, l.c.nodeURL(node, controlPort, "/-/Tallies.Change/"+tallyName), "", protocol.TallyChange{ID: id, Amount: amount}, nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	if code != http.StatusOK {
		l.failed++
		return false
	}
	if _, known := l.kept[id]; !known {
		l.kept[id] = time.Now()
	}
	if life == l.lives[node] {
		l.byNode[node][id] = life
	}
	return true
}

// read reads at a node and checks what it shows: TWICE and STALE.
func (l *tallyCallers) read(node string) {
	l.mu.Lock()
	life, least := l.lives[node], int64(0)
	for id, acknowledgedIn := range l.byNode[node] {
		if acknowledgedIn == life {
			least += l.sent[id]
		}
	}
	l.mu.Unlock()
	total, ok := l.total(node)
	l.mu.Lock()
	defer l.mu.Unlock()
	most := int64(0)
	for _, amount := range l.sent {
		most += amount
	}
	if ok && life == l.lives[node] && (total < least || total > most) {
		l.c.T.Errorf("%s shows %d, it has acknowledged %d, and %d was ever sent", node, total, least, most)
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

// restarted records that a node has another life from now on.
func (l *tallyCallers) restarted(nodes ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, node := range nodes {
		l.lives[node]++
	}
}

// requireMerged ends the callers; mergeMs later each node shows all that was acknowledged.
func (l *tallyCallers) requireMerged() {
	l.c.T.Helper()
	l.stop()
	l.running.Wait()
	time.Sleep(mergeTime)
	least, most := int64(0), int64(0)
	for id, amount := range l.sent {
		most += amount
		if _, kept := l.kept[id]; kept {
			least += amount
		}
	}
	for _, node := range l.c.nodeNames(edgeRole) {
		total, ok := l.total(node)
		if !ok || total < least || total > most {
			l.c.T.Errorf("%s shows %d (%v), %d was acknowledged, %d sent", node, total, ok, least, most)
		}
	}
	l.c.T.Logf("%d calls, %d without a good answer", l.calls, l.failed)
}

// inZone returns the nodes of a zone among those that serve applications.
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

// cutZone cuts a zone off from the others; the function that it returns joins them.
func (c *Cluster) cutZone(zone string) (join func()) {
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

// damageTallies blanks a part of the file of the tallies of a server that isn't running.
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

// TestTalliesAtBothSides: tallies go on at each side of a partition, also under losses while
// the sides are apart, and meet soon after it.
func TestTalliesAtBothSides(t *testing.T) {
	spec := ClusterSpec{Servers: 6, Edges: 3, Agents: 3, Zones: 3, ToleratedLosses: 2, Tallies: true}
	for name, trouble := range map[string]func(t *testing.T, c *Cluster, l *tallyCallers){
		"calm": func(*testing.T, *Cluster, *tallyCallers) { time.Sleep(5 * time.Second) },
		"long cut": func(t *testing.T, c *Cluster, l *tallyCallers) {
			join := c.cutZone("z1")
			time.Sleep(3 * time.Second)
			l.mu.Lock()
			calls, failed := l.calls, l.failed
			l.mu.Unlock()
			time.Sleep(60 * time.Second)
			l.mu.Lock()
			defer l.mu.Unlock()
			if share := float64(l.failed-failed) / float64(l.calls-calls); share > 0.02 {
				t.Errorf("%.3f of the calls have no good answer while the zone is cut off", share)
			}
			join()
		},
		"killed while apart": func(_ *testing.T, c *Cluster, l *tallyCallers) {
			join := c.cutZone("z1")
			time.Sleep(3 * time.Second)
			inside, _ := c.inZone("z1")
			for _, node := range inside[:2] {
				l.restarted(node)
				c.Restart(time.Second, node)
				l.restarted(node)
				time.Sleep(2 * time.Second)
			}
			join()
		},
		"disks lost": func(_ *testing.T, c *Cluster, l *tallyCallers) {
			for _, node := range c.Servers()[:2] {
				l.restarted(node)
				c.restartWiped(500*time.Millisecond, node)
				l.restarted(node)
				time.Sleep(7 * time.Second)
			}
		},
		"file damaged while apart": func(t *testing.T, c *Cluster, l *tallyCallers) {
			join := c.cutZone("z1")
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
					t.Errorf("the damaged file was not set aside: %v", err)
				}
			}
			join()
		},
		"cut after cut": func(_ *testing.T, c *Cluster, _ *tallyCallers) {
			for _, zone := range []string{"z0", "z1", "z2", "z0"} {
				join := c.cutZone(zone)
				time.Sleep(2500 * time.Millisecond)
				join()
			}
		},
		"bridge": func(_ *testing.T, c *Cluster, _ *tallyCallers) {
			// z0 and z1 can't reach each other, z2 reaches both.
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
		"all killed": func(_ *testing.T, c *Cluster, l *tallyCallers) {
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
				trouble(t, c, callers)
				time.Sleep(2 * time.Second)
				callers.requireMerged()
				c.requireNoViolations()
			})
		})
	}
}

// TestAcknowledgedAddsSurviveTheirServer: a server whose messages take long to the others, and
// not to its caller, acknowledges an add, and loses its disk at that moment; the add is on another
// disk by then.
func TestAcknowledgedAddsSurviveTheirServer(t *testing.T) {
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
			for _, node := range c.Servers() {
				if total, ok := callers.total(node); !ok || total&callers.sent[id] == 0 {
					t.Errorf("LOST: %s shows %d (%v) without the %d that %s acknowledged", node, total, ok, callers.sent[id], victim)
				}
			}
		}
		callers.requireMerged()
		c.requireNoViolations()
	})
}
