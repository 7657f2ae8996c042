package standin

import (
	"context"
	"net/http"
	"time"

	"tealpond/internal/agent"
	"tealpond/internal/protocol"
)

// Call handles a call as an agent makes it at the runner's port. The path is one of the protocol;
// incarnation is the one that the agent expects.
func (w *Worker) Call(ctx context.Context, incarnation, path string, body any) agent.RunnerResponse {
	w.mu.Lock()
	if start, ok := body.(protocol.StartRequest); ok {
		w.record(WorkerEvent{Kind: WorkerStartRequested, Incarnation: incarnation, Task: start.TaskID, Run: start.RunID})
	}
	if w.Unresponsive {
		w.mu.Unlock()
		<-ctx.Done()
		return agent.RunnerResponse{}
	}
	if path != keepAlivePath && w.random.Float64() < w.DelayedFraction {
		delay := time.Duration(2000+w.random.Intn(10000)) * time.Millisecond
		w.mu.Unlock()
		go func() {
			time.Sleep(delay)
			w.mu.Lock()
			w.handle(incarnation, body)
			w.mu.Unlock()
		}()
		<-ctx.Done()
		return agent.RunnerResponse{}
	}
	if path != keepAlivePath && w.random.Float64() < w.LostAnswerFraction {
		w.handle(incarnation, body)
		w.mu.Unlock()
		<-ctx.Done()
		return agent.RunnerResponse{}
	}
	defer w.mu.Unlock()
	if poll, ok := body.(protocol.KeepAliveRequest); ok {
		return w.keepAlive(ctx, incarnation, poll)
	}
	return w.handle(incarnation, body)
}

// accept returns the response to a request that was carried out.
func (w *Worker) accept() agent.RunnerResponse {
	return agent.RunnerResponse{StatusCode: http.StatusOK, Run: protocol.RunResponse{ClockMs: w.clock()}}
}

// reject returns the response to a request that is rejected for a reason of the protocol.
func (w *Worker) reject(reason string) agent.RunnerResponse {
	return agent.RunnerResponse{StatusCode: http.StatusConflict, Run: protocol.RunResponse{ClockMs: w.clock(), Reason: reason}}
}

// handle carries out a start or stop request. It is called with w.mu held.
func (w *Worker) handle(incarnation string, body any) agent.RunnerResponse {
	w.advance()
	if incarnation != w.incarnation {
		return agent.RunnerResponse{StatusCode: http.StatusMisdirectedRequest}
	}
	switch request := body.(type) {
	case protocol.StartRequest:
		return w.start(request)
	case protocol.StopRequest:
		return w.stop(request)
	}
	return w.accept()
}

func (w *Worker) start(request protocol.StartRequest) agent.RunnerResponse {
	if w.RejectsStarts {
		return agent.RunnerResponse{StatusCode: http.StatusServiceUnavailable}
	}
	if request.Fence < w.fence {
		return w.reject("fence")
	}
	w.fence = request.Fence
	if request.LeaseUntilMs <= w.clock() {
		return w.reject("late")
	}
	w.leaseUntil = max(w.leaseUntil, request.LeaseUntilMs)
	key := taskRunKey(request.TaskID, request.RunID)
	if w.runs[key] != nil {
		return w.accept()
	}
	cpu := int64(specField(request.Spec, "cpu"))
	for _, running := range w.runs {
		cpu += int64(specField(running.spec, "cpu"))
	}
	if cpu > w.Capacity.CPUUnits && w.EnforcesCapacity {
		// This check precedes the one for an old run. The protocol defines no order, and an
		// agent must not conclude from the reason "room" that the run never ran here.
		return w.reject("room")
	}
	if request.RunID <= w.highestRun[request.TaskID] {
		return w.reject("old")
	}
	w.runs[key] = &runnerTask{task: request.TaskID, run: request.RunID, spec: request.Spec, duration: time.Duration(specField(request.Spec, "ms")) * time.Millisecond, updatedAt: time.Now()}
	w.record(WorkerEvent{Kind: WorkerRunStarted, Incarnation: w.incarnation, Task: request.TaskID, Run: request.RunID, JobSpec: request.Spec, CPUInUse: cpu, CPUCapacity: w.Capacity.CPUUnits, EnforcesCapacity: w.EnforcesCapacity})
	w.started++
	go w.advanceAfter(w.runs[key].duration)
	return w.accept()
}

func (w *Worker) stop(request protocol.StopRequest) agent.RunnerResponse {
	if request.Fence < w.fence {
		return w.reject("fence")
	}
	w.fence = request.Fence
	key := taskRunKey(request.TaskID, request.RunID)
	if running := w.runs[key]; running != nil {
		w.finish(key, running, RunStopped)
	}
	w.highestRun[request.TaskID] = max(w.highestRun[request.TaskID], request.RunID)
	return w.accept()
}

// advanceAfter advances the runner when a run should be finished, so that its end is detected in
// time.
func (w *Worker) advanceAfter(d time.Duration) {
	time.Sleep(d)
	w.mu.Lock()
	w.advance()
	w.mu.Unlock()
}

// keepAlive renews the lease, processes acknowledgements, and returns the lists of runs once there
// are completions or the poll's wait time has elapsed. If ctx ends first, or the worker restarts or
// becomes unresponsive meanwhile, the response is empty. It is called and returns with w.mu held,
// and releases it while it waits.
func (w *Worker) keepAlive(ctx context.Context, incarnation string, poll protocol.KeepAliveRequest) agent.RunnerResponse {
	w.advance()
	if incarnation != w.incarnation {
		return agent.RunnerResponse{StatusCode: http.StatusMisdirectedRequest}
	}
	if poll.Fence < w.fence {
		return w.reject("fence")
	}
	w.fence = poll.Fence
	if poll.LeaseUntilMs > w.leaseUntil {
		w.leaseUntil = min(poll.LeaseUntilMs, w.clock()+maxLeaseAheadMs)
	}
	w.acknowledge(poll.AcknowledgedSequence)
	if poll.WaitMs > 0 && len(w.completions) == 0 {
		changed := w.changed
		w.mu.Unlock()
		timer := time.NewTimer(time.Duration(poll.WaitMs) * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		w.mu.Lock()
		w.advance()
		if ctx.Err() != nil || incarnation != w.incarnation || w.Unresponsive {
			return agent.RunnerResponse{}
		}
	}
	return w.lists()
}

// acknowledge removes the completions up to a sequence number from the list.
func (w *Worker) acknowledge(sequence int64) {
	if sequence <= w.acknowledged {
		return
	}
	for n := w.acknowledged + 1; n <= sequence; n++ {
		w.record(WorkerEvent{Kind: WorkerCompletionAcknowledged, Incarnation: w.incarnation, Completion: n})
	}
	w.acknowledged = sequence
	kept := w.completions[:0:0]
	for _, completion := range w.completions {
		if completion.Sequence > sequence {
			kept = append(kept, completion)
		}
	}
	w.completions = kept
}

// lists returns a response with the runs in progress and the completions.
func (w *Worker) lists() agent.RunnerResponse {
	response := w.accept()
	response.KeepAlive.ClockMs = response.Run.ClockMs
	for _, running := range w.runs {
		percent := min(99, 100*running.progress/max(running.duration, 1))
		response.KeepAlive.Running = append(response.KeepAlive.Running, []any{running.task, float64(running.run), "", float64(percent)})
	}
	for _, completion := range w.completions {
		w.record(WorkerEvent{Kind: WorkerCompletionListed, Incarnation: w.incarnation, Task: completion.Task, Run: completion.Run, Completion: completion.Sequence})
		response.KeepAlive.Ended = append(response.KeepAlive.Ended, []any{float64(completion.Sequence), completion.Task, float64(completion.Run), completion.Result, completion.Checkpoint})
	}
	return response
}
