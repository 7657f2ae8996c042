package agent

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/timing"
)

var modelSeeds = flag.Int("model-seeds", 6, "number of seeds of the model test")

// model is a state, two runners and their agents, with random faults. A seed determines the faults,
// but not the order in which concurrent goroutines run. Requests to the state and calls to the
// runners are lost before or after they take effect, delayed, and duplicated; runners and agents
// are restarted.
type model struct {
	mu                 sync.Mutex
	t                  *testing.T
	random             *rand.Rand
	state              *state.Store
	leaderUnavailable  bool // requests get no response
	granted            map[string]time.Time
	workers            []*modelWorker
	running            map[string]string // by task, the incarnation that runs it
	acknowledgedDone   map[string]bool   // tasks whose completion as done was acknowledged
	starts             int
	reportedMismatches []string // mismatches that the state reported
}

// chance returns true with probability p.
func (m *model) chance(p float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64() < p
}

// between returns a random duration.
func (m *model) between(a, b time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return a + time.Duration(m.random.Int63n(int64(b-a)))
}

// locked calls a function with the model locked and the runners up to date.
func (m *model) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.workers {
		w.advance()
	}
	f()
}

// execute applies a command to the state.
func (m *model) execute(kind string, c state.Command) state.Outcome {
	return applyCommand(m.state, kind, c)
}

// apply executes a request as the leader does.
func (m *model) apply(kind string, body any) (response rpc.Response) {
	m.locked(func() {
		var outcome state.Outcome
		switch c := body.(type) {
		case *rpc.LeaseRenewal:
			worker := m.state.Workers[c.Worker]
			if outcome.Code = 409; worker != nil && worker.Fence == c.Fence && !worker.Dead && !worker.LeaseExpired {
				m.granted[c.Worker] = time.Now()
				outcome = state.Outcome{Code: 200, Value: timing.MaxLeaseDuration.Milliseconds()}
			}
		case *state.RegisterWorker:
			if outcome = m.execute(kind, c); outcome.Code == 200 && m.granted[c.ID].IsZero() {
				m.granted[c.ID] = time.Now()
			}
		case *state.ReportCompletions:
			outcome = m.execute(kind, c)
			if outcome.Code == 200 && outcome.Text != "" {
				m.reportedMismatches = append(m.reportedMismatches, outcome.Text)
			}
		case *state.ReportEligibility:
			outcome = m.execute(kind, c)
		case *state.SetEligibility:
			outcome = m.execute(kind, c)
		}
		response = rpc.Response{Code: rpc.Code(outcome.Code), Text: outcome.Text, Value: outcome.Value}
	})
	return response
}

// callLeader transmits a request, and retries after a time-out as package discovery does.
func (m *model) callLeader(ctx context.Context, kind string, body any) rpc.Response {
	for {
		wait := m.between(time.Millisecond, 30*time.Millisecond)
		var unavailable bool
		m.locked(func() { unavailable = m.leaderUnavailable })
		switch {
		case unavailable || m.chance(0.04): // lost, or delayed for long
			if delay := m.between(time.Second, 12*time.Second); m.chance(0.5) && !unavailable {
				time.AfterFunc(delay, func() { m.apply(kind, body) })
			}
			wait = timing.RequestAttemptTimeout
		case m.chance(0.04): // executed, but the response is lost
			m.apply(kind, body)
			wait = timing.RequestAttemptTimeout
		default:
			time.Sleep(wait)
			if ctx.Err() == nil {
				return m.apply(kind, body)
			}
		}
		select {
		case <-ctx.Done():
			return rpc.Response{Code: rpc.CodeTimeout}
		case <-time.After(wait):
		}
	}
}

// step does the work of the leader and the machines, every 20 ms.
func (m *model) step(tasks int, n int) {
	m.locked(func() {
		for _, w := range m.workers {
			if n%10 == 0 && !w.silent {
				w.heartbeats++
				heartbeat := protocol.Heartbeat{
					Service:       "s",
					State:         protocol.RunnerReady,
					FreeResources: protocol.Resources{CPUUnits: 8000, MemoryMB: 8000},
					ClockMs:       w.clockMs(),
					Sequence:      w.heartbeats,
				}
				w.deliver(event{heartbeat: &heartbeatRequest{id: w.incarnation, status: make(chan int, 1), heartbeat: heartbeat}})
			}
		}
		if m.leaderUnavailable {
			return
		}
		expiry := time.Duration(float64(timing.MaxLeaseDuration)*timing.LeaseClockDriftFactor) + timing.LeaseExpiryMargin
		for id, at := range m.granted {
			if time.Since(at) > expiry {
				delete(m.granted, id)
				m.execute(state.CommandExpireLeases, &state.ExpireLeases{Workers: []state.FencedWorker{{ID: id, Fence: m.state.Workers[id].Fence}}})
			}
		}
		var placements []state.Placement
		for i := range tasks {
			if w := m.state.Workers[m.workers[m.random.Intn(2)].incarnation]; w != nil && m.random.Intn(4) == 0 {
				placements = append(placements, state.Placement{TaskIndex: i, Worker: w.ID, WorkerVersion: w.Version})
			}
		}
		m.execute(state.CommandApplyPlans, &state.ApplyPlans{Plans: []state.Plan{{Job: "j", Placements: placements}}})
		changedRuns := map[uint64]bool{}
		for _, id := range m.state.TakeChangedRuns() {
			changedRuns[id] = true
		}
		for _, w := range m.workers {
			for _, a := range m.state.AllocationsOn(w.incarnation) {
				// Every second all assignments are sent again, as on a new stream.
				if n%50 == 0 || changedRuns[a.ID] && m.random.Intn(10) > 0 {
					w.deliver(event{assignment: &rpc.Assignment{
						Worker:     w.incarnation,
						Fence:      m.state.Workers[w.incarnation].Fence,
						Stop:       a.Stopping,
						Task:       a.TaskName(),
						Run:        a.Run,
						EstimateMs: 200,
					}})
				}
			}
		}
	})
}

// requireHealthy ends the faults of the runners and of the leader, waits until all delayed requests have
// arrived, and requires that the state takes no runner for unhealthy for good.
func (m *model) requireHealthy(tasks int) {
	m.t.Helper()
	m.locked(func() {
		m.leaderUnavailable = false
		for _, w := range m.workers {
			w.silent = false
		}
	})
	const settleSteps, observedSteps = 1000, 250 // of 20 ms
	healthy := map[string]bool{}
	for n := range settleSteps + observedSteps {
		time.Sleep(20 * time.Millisecond)
		m.step(tasks, n)
		m.locked(func() {
			for _, w := range m.workers {
				if row := m.state.Workers[w.incarnation]; n >= settleSteps && row != nil && !row.Unhealthy {
					healthy[w.node] = true
				}
			}
		})
	}
	for _, w := range m.workers {
		if !healthy[w.node] {
			m.t.Errorf("the runner of %s is well, and the state takes it for unhealthy", w.node)
		}
	}
}

// TestNoTaskRunsTwice runs the model: whatever is lost, delayed or duplicated, no task runs twice,
// none is started after its completion was acknowledged, no runner discards uncommitted
// completions, and all tasks complete.
func TestNoTaskRunsTwice(t *testing.T) {
	const tasks = 300
	for seed := range *modelSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				m := &model{t: t, random: rand.New(rand.NewSource(int64(seed))), state: state.New(state.Limits{JobRetentionMs: 1e9, MaxReplans: 2}),
					granted: map[string]time.Time{}, running: map[string]string{}, acknowledgedDone: map[string]bool{}}
				m.execute(state.CommandReplaceConfiguration, &state.ReplaceConfiguration{Raw: []byte(testConfig)})
				job := protocol.Job{Steps: []protocol.Step{{TaskCount: tasks, CPUUnits: 1000, EstimateMs: 200}}}
				m.execute(state.CommandSubmitJob, &state.SubmitJob{Host: "h", Path: "/p/j", ID: "j", Job: job})
				for _, node := range []string{"a", "b"} {
					w := &modelWorker{m: m, node: node}
					m.workers = append(m.workers, w)
					w.restartRunner()
					w.startAgent(ctx)
				}
				done := false
				for n := 0; n < 15000 && !done; n++ {
					time.Sleep(20 * time.Millisecond)
					m.step(tasks, n)
					m.locked(func() {
						w := m.workers[m.random.Intn(2)]
						switch m.random.Intn(400) {
						case 0:
							w.restartRunner()
						case 1, 2, 3:
							w.stop()
							w.startAgent(ctx)
						case 4, 5:
							w.silent = true
							time.AfterFunc(time.Duration(200+m.random.Intn(5000))*time.Millisecond, func() { m.locked(func() { w.silent = false }) })
						case 6, 7:
							m.leaderUnavailable = true
							time.AfterFunc(time.Duration(200+m.random.Intn(8000))*time.Millisecond,
								func() { m.locked(func() { m.leaderUnavailable = false }) })
						}
						jobState, _ := m.state.JobStatus("j")
						done = jobState == "done"
					})
				}
				if !done {
					t.Errorf("the job is not done; %d starts, %d allocations", m.starts, len(m.state.Allocations))
				}
				for _, f := range m.reportedMismatches {
					t.Errorf("mismatch reported by the state: %s", f)
				}
				t.Logf("%d tasks, %d starts", tasks, m.starts)
				m.requireHealthy(tasks)
				stop()
				time.Sleep(time.Minute)
			})
		})
	}
}
