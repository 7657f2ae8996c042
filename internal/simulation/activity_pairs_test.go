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

// activityPairSeeds is the number of seeds, each of which selects and runs one pair of
// activities:
//
//	go test ./internal/simulation -run TestActivityPairs -sim.pairs 200 -timeout 60m
var activityPairSeeds = flag.Int64("sim.pairs", 6, "number of seeds of TestActivityPairs")

// firstActivityPairSeed is the first of these seeds.
var firstActivityPairSeed = flag.Int64("sim.firstpair", 1, "first seed of TestActivityPairs")

// pairSpec is a cluster in which all features are in use.
var pairSpec = ClusterSpec{Servers: 5, Edges: 1, Agents: 6, Zones: 3, Tallies: true}

// minPairDuration is how long callers run at least, so that the checks are meaningful
// after an outage too.
const minPairDuration = 14 * time.Second

// loweredMilliCPU is the limit of limitedTenant while it is lowered.
const loweredMilliCPU = 2000

// pairScenario is a scenario in which two activities overlap.
type pairScenario struct {
	*scenario
	// restarts prevents two activities from restarting the same daemon at the same
	// time, and configurations prevents them from basing changes on the same version.
	// Each holds a token while it is free. Channels are used since a goroutine that
	// waits for a mutex would block the virtual time.
	restarts, configurations chan struct{}
	tallies                  *tallyCallers
	applications             *applicationLoad
}

// activity uses one feature of the system or injects one fault, for a limited time.
type activity struct {
	name string
	run  func(s *pairScenario)
}

// activities are the ones of docs/interactions.md.
var activities = []activity{
	{"narrow links", func(s *pairScenario) {
		for _, node := range everyOther(s.nodeNames("")) {
			s.Network.SetRate(s.NodeIP(node), narrowRate)
			defer s.Network.SetRate(s.NodeIP(node), 0)
		}
		time.Sleep(8 * time.Second)
	}},
	{"speculative copies", func(s *pairScenario) {
		job := newJobOf(500, 300, protocol.Step{TaskCount: 6, CPUUnits: 300, MemoryMB: 10, EstimateMs: 500, Speculative: true})
		for i := range 12 {
			s.submitRequired(600000+i, job)
		}
		s.changeRunners(6*time.Second, func(r *Runner, on bool) { r.Stalled = on }, "side-1", "side-4")
	}},
	{"tenant flood", func(s *pairScenario) {
		for _, id := range s.submitFlood(floodProfile{"", 8 * time.Second, 40 * time.Millisecond}) {
			s.recordAccepted(id)
		}
	}},
	{"zone lost", func(s *pairScenario) {
		inside, _ := s.inZone("z1")
		s.restart(2*time.Second, inside...)
	}},
	{"locks and keys", func(s *pairScenario) { time.Sleep(8 * time.Second) }},
	{"tallies across a partition", func(s *pairScenario) {
		heal := s.isolateZone("z2")
		time.Sleep(5 * time.Second)
		heal()
	}},
	{"large configurations", func(s *pairScenario) {
		for range 3 {
			s.replaceConfiguration(manyRoutes(int(s.lastVersion.Load())), tenantList)
			time.Sleep(time.Second)
		}
	}},
	{"lowered limit", func(s *pairScenario) {
		lowered := tenantsWithLimit(loweredMilliCPU)
		s.replaceConfiguration("", lowered)
		s.History.record(Event{Kind: EventLimitChanged, CPUCapacity: loweredMilliCPU})
		time.Sleep(limitGrace + 3*time.Second)
		s.History.record(Event{Kind: EventLimitChanged, CPUCapacity: limitedTenantMilliCPU})
		s.replaceConfiguration("", tenantList)
	}},
	{"evacuation", func(s *pairScenario) {
		// Runners of the zone reject starts until the evacuation deadline has passed. Tasks that
		// wait for them must not be started afterwards.
		s.background.Go(func() {
			s.changeRunners(evacuationGrace+time.Second, func(r *Runner, on bool) { r.RejectsStarts = on }, s.agentsIn(evacuatedZone)...)
		})
		time.Sleep(400 * time.Millisecond)
		s.requestEvacuation(disklessEdge, "Begin")
		time.Sleep(evacuationGrace + 2*time.Second)
		s.requestEvacuation(disklessEdge, "Finish")
	}},
	{"leader killed", func(s *pairScenario) {
		for range 2 {
			if leader := s.Leader(); leader != "" {
				s.restart(time.Second, leader)
			}
			time.Sleep(3 * time.Second)
		}
	}},
	{"half of the nodes restarted", func(s *pairScenario) { s.restart(time.Second, everyOther(s.nodeNames(""))...) }},
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

// restart kills nodes and starts them again after a downtime.
func (s *pairScenario) restart(downtime time.Duration, names ...string) {
	<-s.restarts
	defer func() { s.restarts <- struct{}{} }()
	s.tallies.restarted(names...)
	s.Restart(downtime, names...)
	s.tallies.restarted(names...)
}

// submitRequired submits a job that must be done in the end if it is accepted.
func (s *pairScenario) submitRequired(id int, job protocol.Job) {
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

// TestActivityPairs: two activities, chosen by a seed, overlap under a load of jobs.
// All invariants that a caller can observe hold.
func TestActivityPairs(t *testing.T) {
	for seed := *firstActivityPairSeed; seed < *firstActivityPairSeed+*activityPairSeeds; seed++ {
		random := rand.New(rand.NewSource(seed))
		first := random.Intn(len(activities))
		second := (first + 1 + random.Intn(len(activities)-1)) % len(activities)
		t.Run(fmt.Sprintf("%d %s with %s", seed, activities[first].name, activities[second].name), func(t *testing.T) {
			runActivityPair(t, seed, activities[first], activities[second], time.Duration(random.Intn(3000))*time.Millisecond)
		})
	}
}

// runActivityPair runs two activities, the second one after a delay.
func runActivityPair(t *testing.T, seed int64, first, second activity, delay time.Duration) {
	t.Helper()
	runScenario(t, pairSpec, seed, func(s *scenario) {
		pair := &pairScenario{scenario: s, tallies: s.startTallyCallers(), applications: startApplications(s),
			restarts: make(chan struct{}, 1), configurations: make(chan struct{}, 1)}
		pair.restarts <- struct{}{}
		pair.configurations <- struct{}{}
		earliestEnd := time.Now().Add(minPairDuration)
		time.Sleep(time.Second)
		var playing sync.WaitGroup
		playing.Go(func() { first.run(pair) })
		time.Sleep(delay)
		playing.Go(func() { second.run(pair) })
		playing.Wait()
		time.Sleep(max(catchUpBound, time.Until(earliestEnd)))
		pair.applications.finish()
		pair.tallies.requireMerged()
	})
}
