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

// Jobs of TestKindsOfWorkUnderTroubles.
const (
	timedJobID, gpuJobID, lastingJobID = "00000000000f0001", "00000000000f0002", "00000000000f0003"
	timedInstances                     = 4
	timedInterval                      = 2 * time.Second
	// mostEarly is how early a timed task may start.
	mostEarly = 250 * time.Millisecond
	// lastingRun is how long a lasting task runs until it ends by itself.
	lastingRun = 15 * time.Second
)

// TestKindsOfWorkUnderTroubles: timed jobs, tasks that need a GPU, and tasks that run until
// they are canceled, while daemons and runners fail. Each instance runs once and not before
// its time, no worker runs more tasks than it has GPUs, and what was lost of the lasting
// tasks is started again.
func TestKindsOfWorkUnderTroubles(t *testing.T) {
	for i, trouble := range []namedPlay{
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
		t.Run(trouble.name, func(t *testing.T) {
			runScenario(t, threeServers, int64(i+1), func(s *scenario) {
				for _, agent := range s.nodeNames(agentRole) {
					s.Runners[agent].update(func() { s.Runners[agent].Capacity.GPUs = 1 })
					s.Runners[agent].Crash() // its next incarnation tells of the GPU
				}
				time.Sleep(2 * time.Second)
				firstAt := time.Now().Add(time.Second)
				timed, lasting := newJob(300, 300, 2), newJob(int(lastingRun.Milliseconds()), 300, 2)
				timed.PeriodicInstances, timed.FirstRunMs, timed.IntervalMs = timedInstances, firstAt.UnixMilli(), timedInterval.Milliseconds()
				lasting.Steps[0].LongRunning = true
				withGPU := newJobOf(400, 200, protocol.Step{TaskCount: 8, CPUUnits: 200, MemoryMB: 10, GPUs: 1, EstimateMs: 400})
				for id, job := range map[string]protocol.Job{timedJobID: timed, gpuJobID: withGPU, lastingJobID: lasting} {
					if !s.SubmitJob(id, job) {
						t.Fatalf("job %s is not accepted", id)
					}
				}
				time.Sleep(1500 * time.Millisecond)
				trouble.play(s)
				for _, id := range []string{timedJobID, gpuJobID} {
					s.waitJobDone(id, 40*time.Second)
				}
				s.WaitUntil("both lasting tasks are at work", 20*time.Second, func() bool { return len(s.running(lastingJobID)) == 2 })
				if code := s.CancelJob(disklessEdge, lastingJobID); code != http.StatusOK {
					t.Errorf("the cancel of the lasting job gets %d", code)
				}
				s.WaitUntil("the lasting tasks have ended", 10*time.Second, func() bool { return len(s.running(lastingJobID)) == 0 })
				time.Sleep(lastingRun + time.Second) // the stand-in's timers end
				for _, violation := range append(earlyStarts(s.runEvents(timedJobID), firstAt), sharedGPUs(s.runEvents(gpuJobID))...) {
					t.Error(violation)
				}
				eachTaskOnce(t, s.History, []upgradeJob{{defaultPathPrefix, timedJobID, timed, jobDone}, {defaultPathPrefix, gpuJobID, withGPU, jobDone}})
			})
		})
	}
}

// runEvents returns what runners saw of starts and ends of a job's runs.
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

// running returns the runs of a job that go on, by incarnation and task.
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

// earlyStarts tells of starts of the timed job's instances before their time, and of
// instances that never started.
func earlyStarts(events []Event, firstAt time.Time) (violations []string) {
	started := map[int]bool{}
	for _, event := range events {
		instance, err := strconv.Atoi(strings.Split(event.Task+"..", ".")[1])
		if event.Kind != EventRunStarted || err != nil {
			continue
		}
		started[instance] = true
		if due := firstAt.Add(time.Duration(instance) * timedInterval); event.At.Before(due.Add(-mostEarly)) {
			violations = append(violations, fmt.Sprintf("%s started %v before its time", event.Task, due.Sub(event.At)))
		}
	}
	if len(started) != timedInstances {
		violations = append(violations, fmt.Sprintf("%d of %d instances started", len(started), timedInstances))
	}
	return violations
}

// sharedGPUs tells of starts on a worker's only GPU beside another task.
func sharedGPUs(events []Event) (violations []string) {
	inUse := map[string]int{}
	for _, event := range events {
		switch event.Kind {
		case EventRunStarted:
			if inUse[event.Incarnation]++; inUse[event.Incarnation] > 1 {
				violations = append(violations, event.Task+" starts beside another task on the GPU of "+event.Incarnation)
			}
		case EventRunEnded:
			inUse[event.Incarnation]--
		case EventCrashed:
			delete(inUse, event.Incarnation)
		}
	}
	return violations
}

// TestWorkCheckersCatchPlantedViolations shows that both checkers can fail.
func TestWorkCheckersCatchPlantedViolations(t *testing.T) {
	firstAt := time.Unix(1000, 0)
	start := func(task, incarnation string, at time.Time) Event {
		return Event{Kind: EventRunStarted, Task: task, Incarnation: incarnation, At: at}
	}
	var onTime []Event
	for instance := range timedInstances {
		onTime = append(onTime, start(fmt.Sprintf("j.%d.0.0", instance), "i", firstAt.Add(time.Duration(instance)*timedInterval)))
	}
	early := append(slices.Clone(onTime), start("j.1.0.1", "i", firstAt.Add(timedInterval-time.Second)))
	for name, c := range map[string]struct {
		violations []string
		want       int
	}{
		"on time":             {earlyStarts(onTime, firstAt), 0},
		"too early":           {earlyStarts(early, firstAt), 1},
		"one never starts":    {earlyStarts(onTime[1:], firstAt), 1},
		"one after the other": {sharedGPUs([]Event{start("a", "i", firstAt), {Kind: EventRunEnded, Incarnation: "i"}, start("b", "i", firstAt)}), 0},
		"after a crash":       {sharedGPUs([]Event{start("a", "i", firstAt), {Kind: EventCrashed, Incarnation: "i"}, start("b", "i", firstAt)}), 0},
		"on two workers":      {sharedGPUs([]Event{start("a", "i", firstAt), start("b", "k", firstAt)}), 0},
		"two at once":         {sharedGPUs([]Event{start("a", "i", firstAt), start("b", "i", firstAt)}), 1},
	} {
		if len(c.violations) != c.want {
			t.Errorf("%s: %q", name, c.violations)
		}
	}
}
