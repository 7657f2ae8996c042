package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"tealpond/internal/localcluster"
	"tealpond/internal/protocol"
	"tealpond/internal/settings"
	"tealpond/internal/standin"
)

const (
	// 3 servers, 7 daemons without a disk and 8 agents are 18 machines, of which two freeze: a share of 0.11, as
	// in the site files.
	evacServers = 3
	evacProxies = 7
	evacAgents  = 8
	// evacFreeze is how long the two stand still; `node_freeze` lasts up to 5 s.
	evacFreeze = 3 * time.Second
	// evacFirst is how long the first evacuation lasts, and evacSecond how long the second one lasts at least.
	// `evacuate` lasts up to 8.4 s.
	evacFirst  = time.Second
	evacSecond = 5600 * time.Millisecond
	// evacBound is evacuateMs.
	evacBound = 5 * time.Second
	// evacRounds bounds how often the trouble comes, until a rule breaks, and evacLimit the time for it.
	evacRounds = 12
	evacLimit  = 100 * time.Second
)

// evacZones are the zones of four that are evacuated, each by orders of its own.
var evacZones = []string{"z1", "z2", "z3"}

// evacuation is the state of the case: since when each zone is evacuated by an acknowledged order that was not
// taken back since.
type evacuation struct {
	*fleet
	mu     sync.Mutex
	since  map[string]time.Time // by zone; none: it is not
	zoneOf map[string]string
	broken int
	starts int
}

// observe checks each start.
func (e *evacuation) observe(event standin.WorkerEvent) {
	if event.Kind != standin.WorkerRunStarted {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	zone := e.zoneOf[event.Node]
	if since, evacuated := e.since[zone]; evacuated && time.Since(since) > evacBound {
		e.broken++
		e.printf("%s in %s: started %s %.2f s after the evacuation was acknowledged", event.Node, zone, event.Task, time.Since(since).Seconds())
	}
}

// order sends an order of the operator to one daemon after the other until it is acknowledged. A call without
// an answer ends after a second, as the operator's calls do, and its connection is closed.
func (e *evacuation) order(zone, what string, daemons ...string) {
	for i := 0; e.ctx.Err() == nil; i++ {
		name := daemons[i%len(daemons)]
		status, _ := e.call(time.Second, http.MethodPost, "http://"+e.daemon(name).ControlAddress()+"/-/Evacuation."+what+"/"+zone, nil, nil)
		e.printf("operator: %s of %s at %s: %d", what, zone, name, status)
		if status == http.StatusOK {
			return
		}
	}
}

// playEvacuation has an operator evacuate three zones, take that back, and evacuate them again. Two daemons stand
// still when the order to take it back is sent to them, which the operator then sends to a third.
func playEvacuation(c *casePlay) (bool, error) {
	e := &evacuation{zoneOf: map[string]string{}, since: map[string]time.Time{}}
	bounds := baseBounds()
	file := settings.File{
		Zones: map[string]string{"z0": "muscat", "z1": "muscat", "z2": "muscat", "z3": "muscat"}, Discovery: "local", HeartbeatIntervalMs: 1500,
		AssignmentProtocol: "duty_call", TargetService: jobService,
		Contracts: []string{"base", "drain", "config", "cost", "recover", "health", "places", "apart", "sched"},
		Limits:    settings.Limits{CPUShare: 0.64, MemoryMB: 408, MaxFileDescriptors: 4100, DiskMB: 192},
		Tolerance: settings.Tolerance{LostMachines: 1},
		Bounds:    bounds,
	}
	options := localcluster.Options{Role: "edge", Servers: evacServers, Proxies: evacProxies, Agents: evacAgents, AgentRole: "side", Zones: 4, Settings: file}
	if err := c.startCluster(options); err != nil {
		return false, err
	}
	names := c.cluster.Names()
	servers, proxies, agents := names[:evacServers], names[evacServers:evacServers+evacProxies], names[evacServers+evacProxies:]
	e.fleet = &fleet{casePlay: c, names: names, edge: proxies[evacProxies-1], onEvent: e.observe}
	for i, name := range agents {
		e.zoneOf[name] = c.daemon(name).Zone
		if err := e.startRunner(name, i+1); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(names[:evacServers+evacProxies], 40*time.Second); err != nil {
		return false, err
	}
	if err := e.configure(); err != nil {
		return false, err
	}
	stop, jobs := make(chan struct{}), sync.WaitGroup{}
	jobs.Go(func() { e.sendJobs(stop) })
	for round := 0; round < evacRounds && time.Since(c.startedAt) < evacLimit-10*time.Second && e.brokenStarts() == 0; round++ {
		e.round(servers, proxies[(2*round)%(evacProxies-1)], proxies[(2*round+1)%(evacProxies-1)])
	}
	close(stop)
	jobs.Wait()
	c.printf("%d starts, %d of them in an evacuated zone later than %v after the acknowledgement", e.starts, e.brokenStarts(), evacBound)
	return e.brokenStarts() > 0, nil
}

// brokenStarts returns the number of starts that broke the rule.
func (e *evacuation) brokenStarts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken
}

// round plays the orders once.
func (e *evacuation) round(servers []string, first, second string) {
	e.forZones(func(zone string) { e.order(zone, "Begin", servers...) })
	e.pause(evacFirst)
	if e.trouble {
		_ = e.cluster.Signal(first, syscall.SIGSTOP)
		_ = e.cluster.Signal(second, syscall.SIGSTOP)
		e.printf("%s and %s stand still for %v", first, second, evacFreeze)
	}
	frozenAt := time.Now()
	e.forZones(func(zone string) {
		e.order(zone, "Finish", first, second, servers[0])
		e.order(zone, "Begin", servers...)
		e.mu.Lock()
		e.since[zone] = time.Now()
		e.mu.Unlock()
	})
	e.pause(evacFreeze - time.Since(frozenAt))
	_ = e.cluster.Signal(first, syscall.SIGCONT)
	_ = e.cluster.Signal(second, syscall.SIGCONT)
	e.printf("%s and %s go on", first, second)
	e.pause(evacSecond - time.Since(frozenAt) + 2*time.Second)
	e.forZones(func(zone string) {
		e.mu.Lock()
		delete(e.since, zone)
		e.mu.Unlock()
		e.order(zone, "Finish", servers...)
	})
}

// forZones does something for each evacuated zone, concurrently.
func (e *evacuation) forZones(do func(zone string)) {
	var zones sync.WaitGroup
	for _, zone := range evacZones {
		zones.Go(func() { do(zone) })
	}
	zones.Wait()
}

// sendJobs hands in small jobs, one after the other.
func (e *evacuation) sendJobs(stop <-chan struct{}) {
	job := protocol.Job{Spec: "ms=300 cpu=3000", Steps: []protocol.Step{{TaskCount: 10, CPUUnits: 3000, MemoryMB: 256, EstimateMs: 300}}}
	for n := 0; e.ctx.Err() == nil; n++ {
		id := "5c0e7a21d94b" + string("0123456789abcdef"[n>>12&15]) + string("0123456789abcdef"[n>>8&15]) + string("0123456789abcdef"[n>>4&15]) + string("0123456789abcdef"[n&15])
		_, _ = e.client(http.MethodPost, id, job)
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}
