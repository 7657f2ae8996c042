package simulation

import (
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// partPairSeeds is how many pairs of parts are drawn and played:
//
//	go test ./internal/simulation -run TestPairsOfParts -sim.pairs 200 -timeout 60m
var partPairSeeds = flag.Int64("sim.pairs", 6, "seeds of TestPairsOfParts")

// firstPartPairSeed is the first of these seeds.
var firstPartPairSeed = flag.Int64("sim.firstpair", 1, "first seed of TestPairsOfParts")

// pairSpec is a cluster in which all parts are at work.
var pairSpec = ClusterSpec{Servers: 5, Edges: 1, Agents: 6, Zones: 3, Tallies: true}

// pairTime is how long callers are at work at least, so that the checks say something after
// an outage too.
const pairTime = 14 * time.Second

// loweredMilliCPU is the limit of boundTenant while it is lowered.
const loweredMilliCPU = 2000

// pairScenario is a scenario in which two parts are at work, each under its trouble.
type pairScenario struct {
	*scenario
	// restarts keeps two parts from restarting the same daemon at a time, configurations
	// from building on one version. Each holds a token while nobody is at it: a task that
	// waits for a mutex would hold up the virtual time.
	restarts, configurations chan struct{}
	tallies                  *tallyCallers
	applications             *applicationLoad
}

// part is one part of the system with its trouble, which ends by itself.
type part struct {
	name string
	play func(s *pairScenario)
}

// parts are those of docs/interactions.md.
var parts = []part{
	{"narrow links", func(s *pairScenario) {
		for _, node := range everySecond(s.nodeNames("")) {
			s.Network.SetRate(s.NodeIP(node), narrowRate)
			defer s.Network.SetRate(s.NodeIP(node), 0)
		}
		time.Sleep(8 * time.Second)
	}},
	{"copies of slow runs", func(s *pairScenario) {
		job := newJobOf(500, 300, protocol.Step{TaskCount: 6, CPUUnits: 300, MemoryMB: 10, EstimateMs: 500, Speculative: true})
		for i := range 12 {
			s.submitPair(600000+i, job)
		}
		s.changeRunners(6*time.Second, func(r *Runner, on bool) { r.Stalled = on }, "side-1", "side-4")
	}},
	{"flood of a tenant", func(s *pairScenario) {
		for _, id := range s.floodFor(floodShape{"", 8 * time.Second, 40 * time.Millisecond}) {
			s.recordAccepted(id)
		}
	}},
	{"lost zone", func(s *pairScenario) {
		inside, _ := s.inZone("z1")
		s.restart(2*time.Second, inside...)
	}},
	{"locks and keys", func(s *pairScenario) { time.Sleep(8 * time.Second) }},
	{"tallies at both sides", func(s *pairScenario) {
		join := s.cutZone("z2")
		time.Sleep(5 * time.Second)
		join()
	}},
	{"large configurations", func(s *pairScenario) {
		for range 3 {
			s.replaceConfiguration(manyRoutes(int(s.lastVersion.Load())), tenantList)
			time.Sleep(time.Second)
		}
	}},
	{"lower limit", func(s *pairScenario) {
		lowered := tenantsWithLimit(loweredMilliCPU)
		s.replaceConfiguration("", lowered)
		s.History.record(Event{Kind: EventLimitChanged, CPUCapacity: loweredMilliCPU})
		time.Sleep(limitGrace + 3*time.Second)
		s.History.record(Event{Kind: EventLimitChanged, CPUCapacity: boundTenantMilliCPU})
		s.replaceConfiguration("", tenantList)
	}},
	{"evacuation", func(s *pairScenario) {
		// Runners of the zone are sick until after the order's bound: what waits for them
		// must not be started then.
		s.background.Go(func() {
			s.changeRunners(evacuationGrace+time.Second, func(r *Runner, on bool) { r.RejectsStarts = on }, s.agentsIn(evacuatedZone)...)
		})
		time.Sleep(400 * time.Millisecond)
		s.orderEvacuation(disklessEdge, "Begin")
		time.Sleep(evacuationGrace + 2*time.Second)
		s.orderEvacuation(disklessEdge, "Finish")
	}},
	{"leader killed", func(s *pairScenario) {
		for range 2 {
			if leader := s.Leader(); leader != "" {
				s.restart(time.Second, leader)
			}
			time.Sleep(3 * time.Second)
		}
	}},
	{"half restarts", func(s *pairScenario) { s.restart(time.Second, everySecond(s.nodeNames(""))...) }},
}

// agentsIn returns the agents of a zone.
func (c *Cluster) agentsIn(zone string) (agents []string) {
	for _, name := range c.nodeNames(agentRole) {
		if c.node(name).zone == zone {
			agents = append(agents, name)
		}
	}
	return agents
}

// restart kills nodes and starts them again.
func (s *pairScenario) restart(downtime time.Duration, names ...string) {
	<-s.restarts
	defer func() { s.restarts <- struct{}{} }()
	s.tallies.restarted(names...)
	s.Restart(downtime, names...)
	s.tallies.restarted(names...)
}

// submitPair submits a job that must be done in the end.
func (s *pairScenario) submitPair(id int, job protocol.Job) {
	s.background.Go(func() {
		if s.SubmitJob(jobID(id), job) {
			s.recordAccepted(jobID(id))
		}
	})
}

// replaceConfiguration sends a configuration until it is acknowledged.
func (s *pairScenario) replaceConfiguration(moreRoutes, tenants string) {
	<-s.configurations
	defer func() { s.configurations <- struct{}{} }()
	base := int(s.lastVersion.Load())
	edges := s.nodeNames(edgeRole)
	attempt := base
	s.WaitUntil("a configuration is accepted", 10*time.Second, func() bool {
		attempt++
		return s.putConfiguration(edges[attempt%len(edges)], base+1, base, moreRoutes, tenants) == http.StatusOK
	})
	s.lastVersion.Store(int64(base + 1))
}

// TestPairsOfParts: two parts, drawn by a seed, are at work under their troubles at the same
// time, above a load of jobs, and all rules hold that a caller can see.
func TestPairsOfParts(t *testing.T) {
	for seed := *firstPartPairSeed; seed < *firstPartPairSeed+*partPairSeeds; seed++ {
		random := rand.New(rand.NewSource(seed))
		first := random.Intn(len(parts))
		second := (first + 1 + random.Intn(len(parts)-1)) % len(parts)
		t.Run(fmt.Sprintf("%d %s with %s", seed, parts[first].name, parts[second].name), func(t *testing.T) {
			playPairOfParts(t, seed, parts[first], parts[second], time.Duration(random.Intn(3000))*time.Millisecond)
		})
	}
}

// playPairOfParts plays two parts, the second one a while after the first.
func playPairOfParts(t *testing.T, seed int64, first, second part, later time.Duration) {
	t.Helper()
	runScenario(t, pairSpec, seed, func(s *scenario) {
		pair := &pairScenario{scenario: s, tallies: s.startTallyCallers(), applications: startApplications(s),
			restarts: make(chan struct{}, 1), configurations: make(chan struct{}, 1)}
		pair.restarts <- struct{}{}
		pair.configurations <- struct{}{}
		leastEnd := time.Now().Add(pairTime)
		time.Sleep(time.Second)
		var playing sync.WaitGroup
		playing.Go(func() { first.play(pair) })
		time.Sleep(later)
		playing.Go(func() { second.play(pair) })
		playing.Wait()
		time.Sleep(max(catchUpBound, time.Until(leastEnd)))
		pair.applications.finish()
		pair.tallies.requireMerged()
	})
}
