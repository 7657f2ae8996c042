package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"tealpond/internal/localcluster"
	"tealpond/internal/protocol"
	"tealpond/internal/settings"
	"tealpond/internal/standin"
)

// The route and the service of the cases with jobs.
const (
	jobHost    = "nony24.example"
	jobPrefix  = "/lohu930/"
	jobService = "match-engine"
	// labelOfOne is the kind of exactly one runner; all others are of kind "a".
	labelOfOne = "b"
)

// fleet is a cluster that runs jobs: 3 servers, a daemon without a disk, and agents with a runner each.
type fleet struct {
	*casePlay
	edge    string // name of the daemon without a disk, at which clients call
	names   []string
	workers []*standin.Worker // by agent
	crashes []func()          // by agent: ends the runner for good
	hanging *hanging          // the calls to the runner of kind labelOfOne
	onEvent func(standin.WorkerEvent)
}

// startFleet starts a cluster with a number of agents. The runner of the first one is of kind labelOfOne.
func (c *casePlay) startFleet(agents int, observe func(standin.WorkerEvent)) (*fleet, error) {
	bounds := baseBounds()
	bounds.InTouchMs, bounds.MaxLeaseMs, bounds.DrainMs, bounds.GangWaitMs, bounds.ConfigApplyMs, bounds.EvacuateMs = 3000, 10000, 2000, 3000, 2000, 0
	file := settings.File{
		Zones: map[string]string{"z0": "muscat"}, Discovery: "local", HeartbeatIntervalMs: 1500, AssignmentProtocol: "duty_call",
		TargetService: jobService,
		Contracts:     []string{"base", "drain", "config", "cost", "recover", "sched"},
		Limits:        settings.Limits{CPUShare: 0.8, MemoryMB: 284, MaxFileDescriptors: 4100, DiskMB: 128},
		Tolerance:     settings.Tolerance{LostMachines: 1},
		Bounds:        bounds,
	}
	if err := c.startCluster(localcluster.Options{Role: "edge", Servers: 3, Proxies: 1, Agents: agents, AgentRole: "side", Zones: 1, Settings: file}); err != nil {
		return nil, err
	}
	f := &fleet{casePlay: c, names: c.cluster.Names(), edge: c.cluster.Names()[3], onEvent: observe}
	for i, name := range f.names[4:] {
		if err := f.startRunner(name, i); err != nil {
			return nil, err
		}
	}
	if err := c.awaitReady(f.names[:4], 40*time.Second); err != nil {
		return nil, err
	}
	return f, f.configure()
}

// startRunner starts the stand-in of an agent's runner, which lives until the case ends.
func (f *fleet) startRunner(agent string, index int) error {
	daemon := f.daemon(agent)
	worker := standin.NewWorker(standin.WorkerOptions{Node: agent, Service: jobService, Zone: daemon.Zone, Seed: int64(index), Observe: f.onEvent})
	if index == 0 {
		worker.Update(func() { worker.Labels = []string{labelOfOne, "r1-1"} })
	}
	listener, err := listen(daemon.RunnerAddress())
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	handler := worker.Handler()
	if index == 0 {
		f.hanging = &hanging{next: handler}
		handler = f.hanging
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // until this process ends
	alive, end := context.WithCancel(f.ctx)
	go worker.SendHeartbeats(alive, daemon.ControlAddress(), 1500*time.Millisecond)
	f.workers = append(f.workers, worker)
	f.crashes = append(f.crashes, func() {
		end()
		_ = server.Close() // its connections break, and none is accepted any more
		worker.Crash()
	})
	return nil
}

// configure sends the first configuration until it is taken.
func (f *fleet) configure() error {
	config := map[string]any{
		"configVersion": 7,
		"routeList": []map[string]any{{"name": "r-a3hwrr6", "hostName": jobHost, "pathPrefix": jobPrefix, "kind": "writing",
			"timeoutMs": 3000, "targetMs": 250, "priority": 0, "targetService": jobService, "maxTries": 4, "stretch": 1.5}},
		"serviceList": []map[string]any{{"name": jobService, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "guards": true}},
		"limits":      map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	return f.await("the configuration to be taken", 40*time.Second, func() bool {
		status, _ := f.call(time.Second, http.MethodPost, "http://"+f.daemon(f.edge).ControlAddress()+"/-/Config.Replace",
			map[string]string{"X-Tealpond-Based-On": "0"}, config)
		return status == http.StatusOK
	})
}

// client makes a call about a job, or about the queue with an empty ID.
func (f *fleet) client(method, id string, body any) (int, []byte) {
	return f.call(3*time.Second, method, "http://"+f.daemon(f.edge).ClientAddress()+jobPrefix+id,
		map[string]string{"Host": jobHost, "X-Tealpond-Time-Left": "3000"}, body)
}

// submit hands a job in until it is accepted.
func (f *fleet) submit(id string, job protocol.Job) error {
	return f.await("job "+id+" to be accepted", 15*time.Second, func() bool {
		status, _ := f.client(http.MethodPost, id, job)
		f.printf("hand in %s: %d", id, status)
		return status == http.StatusOK
	})
}

// state returns the state of a job, or the status if there is no state.
func (f *fleet) state(id string) string {
	status, raw := f.client(http.MethodGet, id, nil)
	var answer struct{ State string }
	if status != http.StatusOK || json.Unmarshal(raw, &answer) != nil {
		return fmt.Sprint(status)
	}
	return answer.State
}

// waitingCount returns the queue's count of waiting jobs; false without an answer.
func (f *fleet) waitingCount() (int, bool) {
	status, raw := f.client(http.MethodGet, "", nil)
	var answer struct{ WaitingCount int }
	if status != http.StatusOK || json.Unmarshal(raw, &answer) != nil {
		return 0, false
	}
	return answer.WaitingCount, true
}
