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

	"github.com/go-kit/log"

	"tealpond/internal/daemon"
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

var modelSeeds = flag.Int("model-seeds", 6, "how many seeds the model test plays")

// model is a state, two runners and their side daemons, with troubles by lot.
// A seed names the lot, but not in which order tasks of one moment run.
// Asks to the state and calls to the runners are lost before or after they take
// effect, come late, and come twice; runners and side daemons are ended.
type model struct {
	mu               sync.Mutex
	t                *testing.T
	random           *rand.Rand
	state            *state.Store
	leaderAway       bool // nobody answers asks
	granted          map[string]time.Time
	workers          []*modelWorker
	running          map[string]string // by task, the life that runs it
	acknowledgedDone map[string]bool   // tasks whose done end was taken note of
	starts           int
	reportedFaults   []string // what the side daemons logged as such
}

type modelWorker struct {
	m            *model
	node         string
	incarnations int
	heartbeats   int64
	agent        *Agent
	stop         context.CancelFunc

	// The runner's present life.
	incarnation   string
	startedAt     time.Time
	clockSlowness float64
	silent        bool
	fence         int64
	leaseUntilMs  int64
	lapsedAt      time.Time
	acknowledged  int64
	lastSequence  int64
	runs          map[string]modelRun // by task
	highestRun    map[string]int
	ended         []protocol.Completion
	endedAt       map[int64]time.Time
}

type modelRun struct {
	run    int
	endsAt time.Time
}

func (m *model) chance(p float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64() < p
}

func (m *model) between(a, b time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return a + time.Duration(m.random.Int63n(int64(b-a)))
}

func (m *model) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.workers {
		w.advance()
	}
	f()
}

func (m *model) execute(kind string, c state.Command) state.Outcome {
	return m.state.ApplyEntry(m.state.AppliedIndex+1, transport.Encode(state.Batch{Clock: time.Now().UnixMilli(), Commands: []state.EncodedCommand{state.EncodeCommand(kind, c)}}))[0]
}

// apply is what the leader does with one ask.
func (m *model) apply(kind string, body any) (response rpc.Response) {
	m.locked(func() {
		var outcome state.Outcome
		switch c := body.(type) {
		case *rpc.LeaseRenewal:
			worker := m.state.Workers[c.Worker]
			if outcome.Code = 409; worker != nil && worker.Fence == c.Fence && !worker.Dead && !worker.LeaseExpired {
				m.granted[c.Worker] = time.Now()
				outcome = state.Outcome{Code: 200, Value: tuning.MaxLeaseDuration.Milliseconds()}
			}
		case *state.RegisterWorker:
			if outcome = m.execute(kind, c); outcome.Code == 200 && m.granted[c.ID].IsZero() {
				m.granted[c.ID] = time.Now()
			}
		case *state.ReportCompletions:
			outcome = m.execute(kind, c)
			if outcome.Code == 200 && outcome.Text != "" {
				m.reportedFaults = append(m.reportedFaults, outcome.Text)
			}
		case *state.SetEligibility:
			outcome = m.execute(kind, c)
		}
		response = rpc.Response{Code: int(outcome.Code), Text: outcome.Text, Value: outcome.Value}
	})
	return response
}

// callLeader carries an ask, again after a silence, as a seeker does.
func (m *model) callLeader(ctx context.Context, kind string, body any) rpc.Response {
	for {
		wait := m.between(time.Millisecond, 30*time.Millisecond)
		var away bool
		m.locked(func() { away = m.leaderAway })
		switch {
		case away || m.chance(0.04): // lost, or held up for long
			if late := m.between(time.Second, 12*time.Second); m.chance(0.5) && !away {
				time.AfterFunc(late, func() { m.apply(kind, body) })
			}
			wait = tuning.RequestAttemptTimeout
		case m.chance(0.04): // done, but the answer is lost
			m.apply(kind, body)
			wait = tuning.RequestAttemptTimeout
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

func (w *modelWorker) clockMs() int64 {
	return 1 + int64(float64(time.Since(w.startedAt).Milliseconds())/w.clockSlowness)
}

func (w *modelWorker) advance() {
	if w.leaseUntilMs > 0 && w.clockMs() > w.leaseUntilMs {
		w.leaseUntilMs, w.lapsedAt = 0, time.Now()
		for task := range w.runs {
			w.end(task, "lapsed")
		}
	}
	for task, r := range w.runs {
		if !time.Now().Before(r.endsAt) {
			w.end(task, "done")
		}
	}
}

func (w *modelWorker) end(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	delete(w.m.running, task)
	w.highestRun[task] = r.run
	w.lastSequence++
	w.ended = append(w.ended, protocol.Completion{Sequence: w.lastSequence, Task: task, Run: r.run, Result: how})
	w.endedAt[w.lastSequence] = time.Now()
}

// restartRunner begins a new life: what ran is gone.
func (w *modelWorker) restartRunner() {
	for task := range w.runs {
		delete(w.m.running, task)
	}
	w.incarnations++
	w.incarnation, w.startedAt, w.clockSlowness = fmt.Sprintf("%s-%d", w.node, w.incarnations), time.Now(), 1+0.02*w.m.random.Float64()
	w.fence, w.leaseUntilMs, w.acknowledged, w.lastSequence, w.ended = 0, 0, 0, 0, nil
	w.runs, w.highestRun, w.endedAt = map[string]modelRun{}, map[string]int{}, map[int64]time.Time{}
}

// Call is the runner's side of a call.
func (w *modelWorker) Call(ctx context.Context, incarnation, path string, body any) RunnerResponse {
	dark := false
	w.m.locked(func() { dark = w.silent })
	if dark || w.m.chance(0.04) {
		if late := w.m.between(100*time.Millisecond, 8*time.Second); !dark && w.m.chance(0.7) {
			time.AfterFunc(late, func() { w.m.locked(func() { w.handle(incarnation, body) }) })
		}
		<-ctx.Done()
		return RunnerResponse{}
	}
	lost, till := w.m.chance(0.04), time.Now()
	if h, ok := body.(protocol.KeepAliveRequest); ok {
		till = till.Add(time.Duration(h.WaitMs) * time.Millisecond)
	}
	for {
		var response RunnerResponse
		w.m.locked(func() { response = w.handle(incarnation, body) })
		if lost {
			<-ctx.Done()
			return RunnerResponse{}
		}
		if len(response.KeepAlive.Ended) > 0 || response.StatusCode != 200 || !time.Now().Before(till) {
			return response
		}
		select {
		case <-ctx.Done():
			return RunnerResponse{}
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (w *modelWorker) handle(incarnation string, body any) RunnerResponse {
	reject := func(reason string) RunnerResponse {
		return RunnerResponse{StatusCode: 409, Run: protocol.RunResponse{ClockMs: w.clockMs(), Reason: reason}}
	}
	if incarnation != w.incarnation {
		return RunnerResponse{StatusCode: 421}
	}
	fence, accepted := int64(0), RunnerResponse{StatusCode: 200, Run: protocol.RunResponse{ClockMs: w.clockMs()}}
	switch request := body.(type) {
	case protocol.StartRequest:
		fence = request.Fence
	case protocol.StopRequest:
		fence = request.Fence
	case protocol.KeepAliveRequest:
		fence = request.Fence
	}
	if fence < w.fence {
		return reject("fence")
	}
	w.fence = fence
	switch request := body.(type) {
	case protocol.StartRequest:
		if request.LeaseUntilMs <= w.clockMs() {
			return reject("late")
		}
		w.leaseUntilMs = max(w.leaseUntilMs, request.LeaseUntilMs)
		if r, there := w.runs[request.TaskID]; there && r.run == request.RunID {
			return accepted
		}
		if len(w.runs) >= 6 {
			return reject("room")
		}
		if request.RunID <= w.highestRun[request.TaskID] {
			return reject("old")
		}
		if other := w.m.running[request.TaskID]; other != "" {
			w.m.t.Errorf("TWICE: %s/%d starts on %s while it runs on %s", request.TaskID, request.RunID, w.incarnation, other)
		}
		if w.m.acknowledgedDone[request.TaskID] {
			w.m.t.Errorf("TWICE: %s/%d starts on %s after it was done", request.TaskID, request.RunID, w.incarnation)
		}
		w.m.starts++
		w.m.running[request.TaskID] = w.incarnation
		w.runs[request.TaskID] = modelRun{request.RunID, time.Now().Add(time.Duration(30+w.m.random.Intn(400)) * time.Millisecond)}
	case protocol.StopRequest:
		if r, there := w.runs[request.TaskID]; there && r.run == request.RunID {
			w.end(request.TaskID, "stopped")
		}
		w.highestRun[request.TaskID] = max(w.highestRun[request.TaskID], request.RunID)
	case protocol.KeepAliveRequest:
		if request.LeaseUntilMs > w.clockMs() {
			w.leaseUntilMs = max(w.leaseUntilMs, request.LeaseUntilMs)
		}
		w.acknowledge(request.AcknowledgedSequence)
		accepted.KeepAlive.ClockMs = w.clockMs()
		for task, r := range w.runs {
			accepted.KeepAlive.Running = append(accepted.KeepAlive.Running, []any{task, float64(r.run), "", float64(time.Now().UnixMilli() % 97)})
		}
		for _, e := range w.ended {
			accepted.KeepAlive.Ended = append(accepted.KeepAlive.Ended, []any{float64(e.Sequence), e.Task, float64(e.Run), e.Result, ""})
		}
	}
	return accepted
}

// acknowledge takes note of ends up to a number.
func (w *modelWorker) acknowledge(seen int64) {
	for len(w.ended) > 0 && w.ended[0].Sequence <= seen {
		e := w.ended[0]
		if e.Result == "done" && !w.lapsedAt.After(w.endedAt[e.Sequence]) {
			w.m.acknowledgedDone[e.Task] = true
		}
		w.ended = w.ended[1:]
	}
	w.acknowledged = max(w.acknowledged, seen)
	if x := w.m.state.Workers[w.incarnation]; x != nil && w.acknowledged > x.LastCompletion {
		w.m.t.Errorf("%s was told to forget ends up to %d, the state holds %d", w.incarnation, w.acknowledged, x.LastCompletion)
	}
}

// startAgent starts a side daemon on the worker's machine.
func (w *modelWorker) startAgent(ctx context.Context) {
	agentCtx, cancel := context.WithCancel(ctx)
	agent := &Agent{log: log.NewNopLogger(), process: fmt.Sprint(time.Now().UnixNano()), events: make(chan event, 1024), runner: w, callLeader: w.m.callLeader, trace: tracing.NewRing(16), ctx: agentCtx}
	agent.settings.NodeName = w.node
	w.agent, w.stop = agent, cancel
	go daemon.Loop(agentCtx, agent.events, agent.handle, agent.advance)
}

// deliver gives an event to the present side daemon.
func (w *modelWorker) deliver(e event) {
	select {
	case w.agent.events <- e:
	default:
	}
}

// step is the leader's and the machines' part, every 20 ms.
func (m *model) step(tasks int, n int) {
	m.locked(func() {
		for _, w := range m.workers {
			if n%10 == 0 && !w.silent {
				w.heartbeats++
				w.deliver(event{heartbeat: &heartbeatRequest{id: w.incarnation, status: make(chan int, 1), heartbeat: protocol.Heartbeat{Service: "s", State: "ready",
					FreeResources: protocol.Resources{CPUUnits: 8000, MemoryMB: 8000}, ClockMs: w.clockMs(), Sequence: w.heartbeats}}})
			}
		}
		if m.leaderAway {
			return
		}
		hold := time.Duration(float64(tuning.MaxLeaseDuration)*tuning.LeaseClockDriftFactor) + tuning.LeaseExpiryMargin
		for id, at := range m.granted {
			if time.Since(at) > hold {
				delete(m.granted, id)
				m.execute("lapse", &state.ExpireLeases{Workers: []state.FencedWorker{{ID: id, Fence: m.state.Workers[id].Fence}}})
			}
		}
		var items []state.Placement
		for i := range tasks {
			if w := m.state.Workers[m.workers[m.random.Intn(2)].incarnation]; w != nil && m.random.Intn(4) == 0 {
				items = append(items, state.Placement{TaskIndex: i, Worker: w.ID, WorkerVersion: w.Version})
			}
		}
		m.execute("book", &state.ApplyPlans{Plans: []state.Plan{{Job: "j", Placements: items}}})
		fresh := map[uint64]bool{}
		for _, id := range m.state.TakeChangedRuns() {
			fresh[id] = true
		}
		for _, w := range m.workers {
			for _, a := range m.state.AllocationsOn(w.incarnation) {
				// Every second all is told anew, as to a new stream.
				if n%50 == 0 || fresh[a.ID] && m.random.Intn(10) > 0 {
					w.deliver(event{assignment: &rpc.Assignment{Worker: w.incarnation, Fence: m.state.Workers[w.incarnation].Fence, Stop: a.Stopping, Task: a.TaskName(), Run: a.Run, EstimateMs: 200}})
				}
			}
		}
	})
}

// TestNoTaskRunsTwice plays the model: whatever is lost, late or doubled, no
// task runs twice, none is started after its end was taken note of, no runner
// forgets what the state doesn't hold, and all tasks end.
func TestNoTaskRunsTwice(t *testing.T) {
	const tasks = 300
	for seed := range *modelSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				m := &model{t: t, random: rand.New(rand.NewSource(int64(seed))), state: state.New(state.Limits{JobRetentionMs: 1e9, MaxReplans: 2}),
					granted: map[string]time.Time{}, running: map[string]string{}, acknowledgedDone: map[string]bool{}}
				m.execute("replace", &state.ReplaceConfiguration{Raw: []byte(testConfig)})
				m.execute("handin", &state.SubmitJob{Host: "h", Path: "/p/j", ID: "j", Job: protocol.Job{Steps: []protocol.Step{{TaskCount: tasks, CPUUnits: 1000, EstimateMs: 200}}}})
				for _, node := range []string{"a", "b"} {
					w := &modelWorker{m: m, node: node}
					m.workers = append(m.workers, w)
					w.restartRunner()
					w.startAgent(ctx)
				}
				over := false
				for n := 0; n < 15000 && !over; n++ {
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
							m.leaderAway = true
							time.AfterFunc(time.Duration(200+m.random.Intn(8000))*time.Millisecond, func() { m.locked(func() { m.leaderAway = false }) })
						}
						word, _ := m.state.JobStatus("j")
						over = word == "done"
					})
				}
				if !over {
					t.Errorf("the job is not done; %d starts, %d bookings", m.starts, len(m.state.Allocations))
				}
				for _, f := range m.reportedFaults {
					t.Errorf("fault: %s", f)
				}
				t.Logf("%d tasks, %d starts", tasks, m.starts)
				stop()
				time.Sleep(time.Minute)
			})
		})
	}
}
