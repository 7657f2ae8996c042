package simulation

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// Event is one thing that a stand-in saw.
type Event struct {
	At               time.Time
	Kind             string
	Node             string
	Incarnation      string
	Task             string
	Run              int
	Outcome          string
	Completion       int64
	JobSpec          string
	CPUInUse         int64
	CPUCapacity      int64
	EnforcesCapacity bool
	Job              string
	State            string
}

// SubmittedJob is a job as its sender knows it.
type SubmittedJob struct {
	JobSpec         string
	Dependencies    [][]int
	TaskCounts      []int
	MaxAttempts     int
	Accepted        bool      // some try was accepted
	Rejected        bool      // every try was turned away
	CancelledAt     time.Time // a cancel was acknowledged
	CancelRequested bool      // a cancel was sent, with whatever answer
	AllowsCopies    bool
}

// History is all that was seen in one run.
type History struct {
	mu         sync.Mutex
	Events     []Event
	Calls      []Call
	Jobs       map[string]*SubmittedJob
	failedRuns map[string]int // runs that failed so far, by task
}

// NewHistory builds an empty one.
func NewHistory() *History {
	return &History{Jobs: map[string]*SubmittedJob{}, failedRuns: map[string]int{}}
}

func (h *History) record(f Event) {
	h.mu.Lock()
	f.At = time.Now()
	h.Events = append(h.Events, f)
	h.mu.Unlock()
}

func splitTaskID(task string) (string, int, string) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return task, 0, ""
	}
	step := 0
	_, _ = fmt.Sscan(p[2], &step)
	return p[0], step, p[1]
}

// checkers are the checkers, by the rules' names.
var checkers = map[string]func(*History) []string{
	"TWICE": checkNoDoubleRun, "ORDER": checkDependencies, "BUDGET": checkAttempts, "LIMIT": checkCapacity, "UNASKED": checkSubmitted, "MIXED": checkDoneIsComplete, "LOST": checkAcceptedJobsKept, "REFUSED": checkRejectedJobsNeverRun, "DRAIN": checkDraining,
	"CONFIG": checkConfiguration, "ALONE": checkIsolatedAnswers, "REPEATED": checkNoRepeatedStart,
}

// Violations holds all rules against the history.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for name, f := range checkers {
		for _, why := range f(h) {
			out = append(out, name+": "+why)
		}
	}
	sort.Strings(out)
	return out
}

type runKey struct {
	incarnation, task string
	run               int
}

type completionKey struct {
	incarnation string
	number      int64
}

// durableCompletions are the ends as done that were taken note of while the hold under which
// they ended had not lapsed: for good.
func durableCompletions(h *History) map[completionKey]bool {
	durable, open := map[completionKey]bool{}, map[completionKey]bool{}
	for _, event := range h.Events {
		key := completionKey{event.Incarnation, event.Completion}
		switch event.Kind {
		case "end":
			if event.Outcome == "done" {
				open[key] = true
			}
		case "lapse":
			for other := range open {
				if other.incarnation == event.Incarnation {
					delete(open, other)
				}
			}
		case "note":
			if open[key] {
				durable[key] = true
				delete(open, key)
			}
		}
	}
	return durable
}

func checkNoDoubleRun(h *History) (out []string) {
	running := map[string]map[runKey]bool{}
	durable, done := durableCompletions(h), map[string]bool{}
	for _, event := range h.Events {
		job, _, _ := splitTaskID(event.Task)
		submitted := h.Jobs[job]
		key := runKey{event.Incarnation, event.Task, event.Run}
		switch event.Kind {
		case "start":
			if submitted != nil && submitted.AllowsCopies {
				continue
			}
			if running[event.Task] == nil {
				running[event.Task] = map[runKey]bool{}
			}
			if len(running[event.Task]) > 0 {
				out = append(out, fmt.Sprintf("%s run %d starts on %s while it runs elsewhere", event.Task, event.Run, event.Node))
			}
			if done[event.Task] {
				out = append(out, event.Task+" starts again after it was done and noted")
			}
			running[event.Task][key] = true
		case "end":
			delete(running[event.Task], key)
			if event.Outcome == "done" && durable[completionKey{event.Incarnation, event.Completion}] {
				done[event.Task] = true
			}
		}
	}
	return out
}

// checkNoRepeatedStart are the orders to start a run that had ended there, as its runner
// had listed by then (PROTOCOL: after silence the lists are asked for first).
func checkNoRepeatedStart(h *History) (out []string) {
	listed := map[runKey]bool{}
	for _, event := range h.Events {
		key := runKey{event.Incarnation, event.Task, event.Run}
		switch event.Kind {
		case "listed":
			listed[key] = true
		case "order":
			if listed[key] {
				out = append(out, fmt.Sprintf("%s run %d is ordered again on %s after its end was listed", event.Task, event.Run, event.Node))
			}
		}
	}
	return out
}

func checkDependencies(h *History) (out []string) {
	done := map[string]bool{}
	for _, event := range h.Events {
		if event.Kind == "end" && event.Outcome == "done" {
			done[event.Task] = true
		}
		if event.Kind != "start" {
			continue
		}
		job, step, instance := splitTaskID(event.Task)
		submitted := h.Jobs[job]
		if submitted == nil || step >= len(submitted.Dependencies) {
			continue
		}
		for _, dependency := range submitted.Dependencies[step] {
			for index := range submitted.TaskCounts[dependency] {
				if task := fmt.Sprintf("%s.%s.%d.%d", job, instance, dependency, index); !done[task] {
					out = append(out, event.Task+" starts before "+task+" is done")
				}
			}
		}
	}
	return out
}

func checkAttempts(h *History) (out []string) {
	failures, failedTask := map[string]int{}, map[completionKey]string{}
	for _, event := range h.Events {
		switch event.Kind {
		case "end":
			if event.Outcome == "failed" {
				failedTask[completionKey{event.Incarnation, event.Completion}] = event.Task
			}
		case "note":
			if t, ok := failedTask[completionKey{event.Incarnation, event.Completion}]; ok {
				failures[t]++
			}
		case "start":
			job, _, _ := splitTaskID(event.Task)
			if submitted := h.Jobs[job]; submitted != nil && submitted.MaxAttempts > 0 && failures[event.Task] >= submitted.MaxAttempts {
				out = append(out, event.Task+" starts after its tries were used up")
			}
		}
	}
	return out
}

func checkCapacity(h *History) (out []string) {
	for _, event := range h.Events {
		if event.Kind == "start" && !event.EnforcesCapacity && event.CPUInUse > event.CPUCapacity {
			out = append(out, fmt.Sprintf("%s puts %s at %d of %d", event.Task, event.Node, event.CPUInUse, event.CPUCapacity))
		}
	}
	return out
}

func checkSubmitted(h *History) (out []string) {
	for _, event := range h.Events {
		if event.Kind != "start" {
			continue
		}
		job, _, _ := splitTaskID(event.Task)
		submitted := h.Jobs[job]
		switch {
		case submitted == nil:
			out = append(out, event.Task+" was handed in by nobody")
		case submitted.JobSpec != event.JobSpec:
			out = append(out, event.Task+" starts with another jobSpec")
		case !submitted.CancelledAt.IsZero() && event.At.Sub(submitted.CancelledAt) > 3*time.Second:
			out = append(out, event.Task+" starts after its job was called off")
		}
	}
	return out
}

func checkDoneIsComplete(h *History) (out []string) {
	done := map[string]bool{}
	for _, event := range h.Events {
		switch event.Kind {
		case "end":
			if event.Outcome == "done" {
				done[event.Task] = true
			}
		case "shown":
			submitted := h.Jobs[event.Job]
			if event.State != "done" || submitted == nil {
				continue
			}
			for step, n := range submitted.TaskCounts {
				for index := range n {
					if task := fmt.Sprintf("%s.0.%d.%d", event.Job, step, index); !done[task] {
						out = append(out, event.Job+" is shown as done before "+task)
					}
				}
			}
		}
	}
	return out
}

func checkAcceptedJobsKept(h *History) (out []string) {
	for _, event := range h.Events {
		submitted := h.Jobs[event.Job]
		if event.Kind != "shown" || submitted == nil {
			continue
		}
		if submitted.Accepted && event.State == "410" {
			out = append(out, event.Job+" was accepted and is unknown")
		}
		if event.State == "called_off" && !submitted.CancelRequested {
			out = append(out, event.Job+" is shown as called off with no cause")
		}
	}
	return out
}

func checkRejectedJobsNeverRun(h *History) (out []string) {
	for _, event := range h.Events {
		job, _, _ := splitTaskID(event.Task)
		if submitted := h.Jobs[job]; event.Kind == "start" && submitted != nil && submitted.Rejected {
			out = append(out, event.Task+" starts though every try was turned away")
		}
	}
	return out
}

func checkDraining(h *History) (out []string) {
	since := map[string]time.Time{}
	for _, event := range h.Events {
		switch event.Kind {
		case "draining":
			since[event.Incarnation] = event.At
		case "start":
			if drainingSince := since[event.Incarnation]; !drainingSince.IsZero() && event.At.Sub(drainingSince) > 2*time.Second {
				out = append(out, event.Task+" starts on draining "+event.Node)
			}
		}
	}
	return out
}
