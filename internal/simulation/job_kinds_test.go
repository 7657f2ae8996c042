package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// IDs and parameters of the jobs of TestJobKindsUnderFaults.
const (
	periodicJobID, gpuJobID, longRunningJobID = "00000000000f0001", "00000000000f0002", "00000000000f0003"
	periodicInstances                         = 4
	periodicInterval                          = 2 * time.Second
	// maxEarlyStart is how early a periodic instance may start.
	maxEarlyStart = 250 * time.Millisecond
	// longRunDuration is how long a long-running task runs before it ends on its own.
	longRunDuration = 15 * time.Second
)

// TestJobKindsUnderFaults runs periodic jobs, tasks that need a GPU, and
// long-running tasks while daemons and runners fail. Each periodic instance runs once
// and not before its time, no worker runs more tasks than it has GPUs, and long-running
// tasks that were lost are restarted.
func TestJobKindsUnderFaults(t *testing.T) {
	for i, fault := range []namedScenario{
		{"none", func(*scenario) {}},
		{"leader killed", func(s *scenario) { s.Restart(500*time.Millisecond, s.Leader()) }},
		{"all servers killed", func(s *scenario) { s.Restart(300*time.Millisecond, s.Servers()...) }},
		{"agents killed", func(s *scenario) { s.Restart(time.Second, s.nodeNames(agentRole)[:2]...) }},
		{"a runner crashes", func(s *scenario) { s.Runners[s.nodeNames(agentRole)[0]].Crash() }},
		{"an agent is cut off", func(s *scenario) {
			agents := s.nodeNames(agentRole)
			s.partitionFor(8*time.Second, agents[1], s.nodeNames(edgeRole)...)
		}},
	} {
		t.Run(fault.name, func(t *testing.T) {
			runScenario(t, threeServers, int64(i+1), func(s *scenario) {
				for _, agent := range s.nodeNames(agentRole) {
					s.Runners[agent].update(func() { s.Runners[agent].Capacity.GPUs = 1 })
					s.Runners[agent].Crash() // its next incarnation reports the GPU
				}
				time.Sleep(2 * time.Second)
				firstAt := time.Now().Add(time.Second)
				periodic, longRunning := newJob(300, 300, 2), newJob(int(longRunDuration.Milliseconds()), 300, 2)
				periodic.PeriodicInstances, periodic.FirstRunMs, periodic.IntervalMs = periodicInstances, firstAt.UnixMilli(), periodicInterval.Milliseconds()
				longRunning.Steps[0].LongRunning = true
				withGPU := newJobOf(400, 200, protocol.Step{TaskCount: 8, CPUUnits: 200, MemoryMB: 10, GPUs: 1, EstimateMs: 400})
				for id, job := range map[string]protocol.Job{periodicJobID: periodic, gpuJobID: withGPU, longRunningJobID: longRunning} {
					if !s.SubmitJob(id, job) {
						t.Fatalf("job %s was not accepted", id)
					}
				}
				time.Sleep(1500 * time.Millisecond)
				fault.run(s)
				for _, id := range []string{periodicJobID, gpuJobID} {
					s.waitJobDone(id, 40*time.Second)
				}
				s.WaitUntil("both long-running tasks are running", 20*time.Second, func() bool { return len(s.running(longRunningJobID)) == 2 })
				if code := s.CancelJob(disklessEdge, longRunningJobID); code != http.StatusOK {
					t.Errorf("cancel of the long-running job gets %d, want 200", code)
				}
				s.WaitUntil("the long-running tasks have ended", 10*time.Second, func() bool { return len(s.running(longRunningJobID)) == 0 })
				time.Sleep(longRunDuration + time.Second) // until the timers of the runner stand-ins have fired
				for _, violation := range append(earlyStarts(s.runEvents(periodicJobID), firstAt), sharedGPUs(s.runEvents(gpuJobID))...) {
					t.Error(violation)
				}
				requireEachTaskOnce(t, s.History, []upgradeJob{{defaultPathPrefix, periodicJobID, periodic, jobDone}, {defaultPathPrefix, gpuJobID, withGPU, jobDone}})
			})
		})
	}
}

// runEvents returns the start and end events of the runs of a job, and all crashes of
// runners.
func (s *scenario) runEvents(job string) (events []Event) {
	s.History.mu.Lock()
	defer s.History.mu.Unlock()
	for _, event := range s.History.Events {
		ofJob := strings.HasPrefix(event.Task, job+".") && (event.Kind == EventRunStarted || event.Kind == EventRunEnded)
		if ofJob || event.Kind == EventCrashed {
			events = append(events, event)
		}
	}
	return events
}

// running returns the current runs of a job, by incarnation and task.
func (s *scenario) running(job string) map[string]bool {
	running := map[string]bool{}
	for _, event := range s.runEvents(job) {
		key := event.Incarnation + " " + event.Task
		switch event.Kind {
		case EventRunStarted:
			running[key] = true
		case EventRunEnded:
			delete(running, key)
		case EventCrashed:
			for other := range running {
				if strings.HasPrefix(other, event.Incarnation+" ") {
					delete(running, other)
				}
			}
		}
	}
	return running
}

// earlyStarts returns a violation for each start of a periodic instance before its
// time, and one if not all instances started.
func earlyStarts(events []Event, firstAt time.Time) (violations []string) {
	started := map[int]bool{}
	for _, event := range events {
		instance, err := strconv.Atoi(strings.Split(event.Task+"..", ".")[1])
		if event.Kind != EventRunStarted || err != nil {
			continue
		}
		started[instance] = true
		if due := firstAt.Add(time.Duration(instance) * periodicInterval); event.At.Before(due.Add(-maxEarlyStart)) {
			violations = append(violations, fmt.Sprintf("%s started %v before its time", event.Task, due.Sub(event.At)))
		}
	}
	if len(started) != periodicInstances {
		violations = append(violations, fmt.Sprintf("%d of %d periodic instances started", len(started), periodicInstances))
	}
	return violations
}

// sharedGPUs returns a violation for each start of a task on a worker whose only GPU is
// in use by another task.
func sharedGPUs(events []Event) (violations []string) {
	inUse := map[string]int{}
	for _, event := range events {
		switch event.Kind {
		case EventRunStarted:
			if inUse[event.Incarnation]++; inUse[event.Incarnation] > 1 {
				violations = append(violations, event.Task+" started while another task used the GPU of "+event.Incarnation)
			}
		case EventRunEnded:
			inUse[event.Incarnation]--
		case EventCrashed:
			delete(inUse, event.Incarnation)
		}
	}
	return violations
}

// TestWorkCheckersDetectViolations checks that both checkers report violations.
func TestWorkCheckersDetectViolations(t *testing.T) {
	firstAt := time.Unix(1000, 0)
	start := func(task, incarnation string, at time.Time) Event {
		return Event{Kind: EventRunStarted, Task: task, Incarnation: incarnation, At: at}
	}
	var onTime []Event
	for instance := range periodicInstances {
		onTime = append(onTime, start(fmt.Sprintf("j.%d.0.0", instance), "i", firstAt.Add(time.Duration(instance)*periodicInterval)))
	}
	early := append(slices.Clone(onTime), start("j.1.0.1", "i", firstAt.Add(periodicInterval-time.Second)))
	for name, c := range map[string]struct {
		violations []string
		want       int
	}{
		"on time":             {earlyStarts(onTime, firstAt), 0},
		"too early":           {earlyStarts(early, firstAt), 1},
		"one not started":     {earlyStarts(onTime[1:], firstAt), 1},
		"one after the other": {sharedGPUs([]Event{start("a", "i", firstAt), {Kind: EventRunEnded, Incarnation: "i"}, start("b", "i", firstAt)}), 0},
		"after a crash":       {sharedGPUs([]Event{start("a", "i", firstAt), {Kind: EventCrashed, Incarnation: "i"}, start("b", "i", firstAt)}), 0},
		"on two workers":      {sharedGPUs([]Event{start("a", "i", firstAt), start("b", "k", firstAt)}), 0},
		"concurrent":          {sharedGPUs([]Event{start("a", "i", firstAt), start("b", "i", firstAt)}), 1},
	} {
		if len(c.violations) != c.want {
			t.Errorf("%s: unexpected violations: %q", name, c.violations)
		}
	}
}
