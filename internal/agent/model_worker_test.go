package agent

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/daemon"
	"tealpond/internal/protocol"
	"tealpond/internal/tracing"
)

// modelWorker is a machine of the model: a runner and the agent beside it.
type modelWorker struct {
	m            *model
	node         string
	incarnations int
	heartbeats   int64
	agent        *Agent
	stop         context.CancelFunc

	// The runner's present incarnation.
	incarnation    string
	startedAt      time.Time
	clockSlowness  float64
	silent         bool
	fence          int64
	leaseUntilMs   int64
	leaseExpiredAt time.Time
	acknowledged   int64
	lastSequence   int64
	runs           map[string]modelRun // by task
	highestRun     map[string]int
	ended          []protocol.Completion
	endedAt        map[int64]time.Time
}

// modelRun is a run on a runner of the model.
type modelRun struct {
	run    int
	endsAt time.Time
}

// clockMs returns the time of the runner's clock, which may be slow.
func (w *modelWorker) clockMs() int64 {
	return 1 + int64(float64(time.Since(w.startedAt).Milliseconds())/w.clockSlowness)
}

// advance ends runs whose lease has expired or that are done.
func (w *modelWorker) advance() {
	if w.leaseUntilMs > 0 && w.clockMs() > w.leaseUntilMs {
		w.leaseUntilMs, w.leaseExpiredAt = 0, time.Now()
		for task := range w.runs {
			w.end(task, protocol.ResultLeaseExpired)
		}
	}
	for task, r := range w.runs {
		if !time.Now().Before(r.endsAt) {
			w.end(task, protocol.ResultDone)
		}
	}
}

// end ends a run with a result.
func (w *modelWorker) end(task, result string) {
	r := w.runs[task]
	delete(w.runs, task)
	delete(w.m.running, task)
	w.highestRun[task] = r.run
	w.lastSequence++
	w.ended = append(w.ended, protocol.Completion{Sequence: w.lastSequence, Task: task, Run: r.run, Result: result})
	w.endedAt[w.lastSequence] = time.Now()
}

// restartRunner starts a new incarnation without any runs.
func (w *modelWorker) restartRunner() {
	for task := range w.runs {
		delete(w.m.running, task)
	}
	w.incarnations++
	w.incarnation, w.startedAt, w.clockSlowness = fmt.Sprintf("%s-%d", w.node, w.incarnations), time.Now(), 1+0.02*w.m.random.Float64()
	w.fence, w.leaseUntilMs, w.acknowledged, w.lastSequence, w.ended = 0, 0, 0, 0, nil
	w.runs, w.highestRun, w.endedAt = map[string]modelRun{}, map[string]int{}, map[int64]time.Time{}
}

// Call transmits a call to the runner: it may be delayed, and its response lost.
func (w *modelWorker) Call(ctx context.Context, incarnation, path string, body any) RunnerResponse {
	silent := false
	w.m.locked(func() { silent = w.silent })
	if silent || w.m.chance(0.04) {
		if delay := w.m.between(100*time.Millisecond, 8*time.Second); !silent && w.m.chance(0.7) {
			time.AfterFunc(delay, func() { w.m.locked(func() { w.handle(incarnation, body) }) })
		}
		<-ctx.Done()
		return RunnerResponse{}
	}
	lost, deadline := w.m.chance(0.04), time.Now()
	if request, ok := body.(protocol.KeepAliveRequest); ok {
		deadline = deadline.Add(time.Duration(request.WaitMs) * time.Millisecond)
	}
	for {
		var response RunnerResponse
		w.m.locked(func() { response = w.handle(incarnation, body) })
		if lost {
			<-ctx.Done()
			return RunnerResponse{}
		}
		if len(response.KeepAlive.Ended) > 0 || response.StatusCode != http.StatusOK || !time.Now().Before(deadline) {
			return response
		}
		select {
		case <-ctx.Done():
			return RunnerResponse{}
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// handle executes a request; the model is locked.
func (w *modelWorker) handle(incarnation string, body any) RunnerResponse {
	if incarnation != w.incarnation {
		return RunnerResponse{StatusCode: 421}
	}
	switch request := body.(type) {
	case protocol.StartRequest:
		if w.isStaleFence(request.Fence) {
			return w.reject(protocol.ReasonStaleFence)
		}
		return w.start(request)
	case protocol.StopRequest:
		if w.isStaleFence(request.Fence) {
			return w.reject(protocol.ReasonStaleFence)
		}
		if r, exists := w.runs[request.TaskID]; exists && r.run == request.RunID {
			w.end(request.TaskID, protocol.ResultStopped)
		}
		w.highestRun[request.TaskID] = max(w.highestRun[request.TaskID], request.RunID)
	case protocol.KeepAliveRequest:
		if w.isStaleFence(request.Fence) {
			return w.reject(protocol.ReasonStaleFence)
		}
		return w.keepAlive(request)
	}
	return w.accept()
}

// isStaleFence reports whether a higher fence was seen, and records this one otherwise.
func (w *modelWorker) isStaleFence(fence int64) bool {
	if fence < w.fence {
		return true
	}
	w.fence = fence
	return false
}

func (w *modelWorker) accept() RunnerResponse {
	return RunnerResponse{StatusCode: 200, Run: protocol.RunResponse{ClockMs: w.clockMs()}}
}

func (w *modelWorker) reject(reason string) RunnerResponse {
	return RunnerResponse{StatusCode: 409, Run: protocol.RunResponse{ClockMs: w.clockMs(), Reason: reason}}
}

// start starts a run, and checks that its task is neither running nor done.
func (w *modelWorker) start(request protocol.StartRequest) RunnerResponse {
	if request.LeaseUntilMs <= w.clockMs() {
		return w.reject(protocol.ReasonLeaseEnded)
	}
	w.leaseUntilMs = max(w.leaseUntilMs, request.LeaseUntilMs)
	if r, exists := w.runs[request.TaskID]; exists && r.run == request.RunID {
		return w.accept()
	}
	if len(w.runs) >= 6 {
		return w.reject(protocol.ReasonNoResources)
	}
	if request.RunID <= w.highestRun[request.TaskID] {
		return w.reject(protocol.ReasonAlreadyStarted)
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
	return w.accept()
}

// keepAlive extends the lease, discards acknowledged completions and returns the lists.
func (w *modelWorker) keepAlive(request protocol.KeepAliveRequest) RunnerResponse {
	if request.LeaseUntilMs > w.clockMs() {
		w.leaseUntilMs = max(w.leaseUntilMs, request.LeaseUntilMs)
	}
	w.acknowledge(request.AcknowledgedSequence)
	response := w.accept()
	response.KeepAlive.ClockMs = w.clockMs()
	for task, r := range w.runs {
		response.KeepAlive.Running = append(response.KeepAlive.Running, []any{task, float64(r.run), "", float64(time.Now().UnixMilli() % 97)})
	}
	for _, e := range w.ended {
		response.KeepAlive.Ended = append(response.KeepAlive.Ended, []any{float64(e.Sequence), e.Task, float64(e.Run), e.Result, ""})
	}
	return response
}

// acknowledge discards completions up to a sequence, and checks that they are committed.
func (w *modelWorker) acknowledge(sequence int64) {
	for len(w.ended) > 0 && w.ended[0].Sequence <= sequence {
		e := w.ended[0]
		if e.Result == "done" && !w.leaseExpiredAt.After(w.endedAt[e.Sequence]) {
			w.m.acknowledgedDone[e.Task] = true
		}
		w.ended = w.ended[1:]
	}
	w.acknowledged = max(w.acknowledged, sequence)
	if worker := w.m.state.Workers[w.incarnation]; worker != nil && w.acknowledged > worker.LastCompletion {
		w.m.t.Errorf("%s was told to discard completions up to %d, but only those up to %d are committed",
			w.incarnation, w.acknowledged, worker.LastCompletion)
	}
}

// startAgent starts an agent on the worker's machine.
func (w *modelWorker) startAgent(ctx context.Context) {
	agentCtx, cancel := context.WithCancel(ctx)
	agent := &Agent{
		log:        log.NewNopLogger(),
		processID:  fmt.Sprint(time.Now().UnixNano()),
		events:     make(chan event, eventQueueLength),
		runner:     w,
		callLeader: w.m.callLeader,
		trace:      tracing.NewRing(16),
		ctx:        agentCtx,
	}
	agent.settings.NodeName = w.node
	w.agent, w.stop = agent, cancel
	go daemon.Loop(agentCtx, agent.events, agent.handle, agent.advance)
}

// deliver passes an event to the current agent; it is lost if the agent's queue is full.
func (w *modelWorker) deliver(e event) {
	select {
	case w.agent.events <- e:
	default:
	}
}
