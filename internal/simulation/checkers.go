package simulation

import (
	"fmt"
	"sort"
	"time"
)

// checkers are the invariant checkers, by the names of the operators' rules. Each
// gives a line for every violation.
var checkers = map[string]func(*History) []string{
	"TWICE":    checkNoDoubleRun,
	"ORDER":    checkDependencies,
	"BUDGET":   checkAttempts,
	"LIMIT":    checkCapacity,
	"UNASKED":  checkSubmitted,
	"MIXED":    checkDoneIsComplete,
	"LOST":     checkAcceptedJobsKept,
	"REFUSED":  checkRejectedJobsNeverRun,
	"DRAIN":    checkDraining,
	"EVAC":     checkEvacuations,
	"CONFIG":   checkConfiguration,
	"ALONE":    checkIsolatedAnswers,
	"REPEATED": checkNoRepeatedStart,
	"QUOTA":    checkQuotas,
	"ROUTE":    checkKeys,
}

// Times within which what was acknowledged must have reached all runners.
const (
	cancelGrace = 3 * time.Second
	// evacuationGrace is evacuateMs of the operators.
	evacuationGrace = 5 * time.Second
	drainGrace      = 2 * time.Second
)

// Violations runs all checkers on the history.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var violations []string
	for rule, check := range checkers {
		for _, violation := range check(h) {
			violations = append(violations, rule+": "+violation)
		}
	}
	sort.Strings(violations)
	return violations
}

// runKey names a run on one runner.
type runKey struct {
	incarnation, task string
	run               int
}

// completionKey names the end of a run, by its number in its runner's list.
type completionKey struct {
	incarnation string
	number      int64
}

// durableCompletions returns the successful ends that were acknowledged before the
// lease expired under which they were reached. Such a task stays done permanently.
func durableCompletions(h *History) map[completionKey]bool {
	durable, open := map[completionKey]bool{}, map[completionKey]bool{}
	for _, event := range h.Events {
		key := completionKey{event.Incarnation, event.Completion}
		switch event.Kind {
		case EventRunEnded:
			if event.Outcome == runDone {
				open[key] = true
			}
		case EventLeaseExpired:
			for other := range open {
				if other.incarnation == event.Incarnation {
					delete(open, other)
				}
			}
		case EventAcknowledged:
			if open[key] {
				durable[key] = true
				delete(open, key)
			}
		}
	}
	return durable
}

// checkNoDoubleRun: a task runs at most once at a time, and not again after its end
// was durable. Jobs that allow copies are left out.
func checkNoDoubleRun(h *History) (violations []string) {
	running := map[string]map[runKey]bool{}
	durable, done := durableCompletions(h), map[string]bool{}
	for _, event := range h.Events {
		job, _, _ := splitTaskID(event.Task)
		submitted := h.Jobs[job]
		key := runKey{event.Incarnation, event.Task, event.Run}
		switch event.Kind {
		case EventRunStarted:
			if submitted != nil && submitted.AllowsCopies {
				continue
			}
			if running[event.Task] == nil {
				running[event.Task] = map[runKey]bool{}
			}
			if len(running[event.Task]) > 0 {
				violations = append(violations, fmt.Sprintf("%s run %d starts on %s while it runs elsewhere", event.Task, event.Run, event.Node))
			}
			if done[event.Task] {
				violations = append(violations, event.Task+" starts again after it was done and noted")
			}
			running[event.Task][key] = true
		case EventRunEnded:
			delete(running[event.Task], key)
			if event.Outcome == runDone && durable[completionKey{event.Incarnation, event.Completion}] {
				done[event.Task] = true
			}
		}
	}
	return violations
}

// checkNoRepeatedStart: no start is requested of a run whose end its runner had listed
// by then. By the protocol an agent asks for the lists first, after silence.
func checkNoRepeatedStart(h *History) (violations []string) {
	listed := map[runKey]bool{}
	for _, event := range h.Events {
		key := runKey{event.Incarnation, event.Task, event.Run}
		switch event.Kind {
		case EventListed:
			listed[key] = true
		case EventStartRequested:
			if listed[key] {
				violations = append(violations, fmt.Sprintf("%s run %d is requested again on %s after its end was listed", event.Task, event.Run, event.Node))
			}
		}
	}
	return violations
}

// checkDependencies: a task starts only when the tasks of all steps on which its step
// depends are done.
func checkDependencies(h *History) (violations []string) {
	done := map[string]bool{}
	for _, event := range h.Events {
		if event.Kind == EventRunEnded && event.Outcome == runDone {
			done[event.Task] = true
		}
		if event.Kind != EventRunStarted {
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
					violations = append(violations, event.Task+" starts before "+task+" is done")
				}
			}
		}
	}
	return violations
}

// checkAttempts: a task doesn't start after as many failures as it has attempts were
// acknowledged.
func checkAttempts(h *History) (violations []string) {
	failures, failedTask := map[string]int{}, map[completionKey]string{}
	for _, event := range h.Events {
		switch event.Kind {
		case EventRunEnded:
			if event.Outcome == runFailed {
				failedTask[completionKey{event.Incarnation, event.Completion}] = event.Task
			}
		case EventAcknowledged:
			if task, ok := failedTask[completionKey{event.Incarnation, event.Completion}]; ok {
				failures[task]++
			}
		case EventRunStarted:
			job, _, _ := splitTaskID(event.Task)
			if submitted := h.Jobs[job]; submitted != nil && submitted.MaxAttempts > 0 && failures[event.Task] >= submitted.MaxAttempts {
				violations = append(violations, event.Task+" starts after its attempts were used up")
			}
		}
	}
	return violations
}

// checkCapacity: runners that don't enforce their capacity themselves aren't given more
// than that.
func checkCapacity(h *History) (violations []string) {
	for _, event := range h.Events {
		if event.Kind == EventRunStarted && !event.EnforcesCapacity && event.CPUInUse > event.CPUCapacity {
			violations = append(violations, fmt.Sprintf("%s puts %s at %d of %d thousandths of a core", event.Task, event.Node, event.CPUInUse, event.CPUCapacity))
		}
	}
	return violations
}

// checkSubmitted: what starts was submitted, in that form, and its job hadn't been
// canceled long ago.
func checkSubmitted(h *History) (violations []string) {
	for _, event := range h.Events {
		if event.Kind != EventRunStarted {
			continue
		}
		job, _, _ := splitTaskID(event.Task)
		submitted := h.Jobs[job]
		switch {
		case submitted == nil:
			violations = append(violations, event.Task+" was submitted by nobody")
		case submitted.JobSpec != event.JobSpec:
			violations = append(violations, event.Task+" starts with another jobSpec")
		case !submitted.CanceledAt.IsZero() && event.At.Sub(submitted.CanceledAt) > cancelGrace:
			violations = append(violations, event.Task+" starts after its job was canceled")
		}
	}
	return violations
}

// checkDoneIsComplete: a job is shown as done only when all its tasks are.
func checkDoneIsComplete(h *History) (violations []string) {
	done := map[string]bool{}
	for _, event := range h.Events {
		switch event.Kind {
		case EventRunEnded:
			if event.Outcome == runDone {
				done[event.Task] = true
			}
		case EventJobShown:
			submitted := h.Jobs[event.Job]
			if event.State != jobDone || submitted == nil {
				continue
			}
			for step, n := range submitted.TaskCounts {
				for index := range n {
					if task := fmt.Sprintf("%s.0.%d.%d", event.Job, step, index); !done[task] {
						violations = append(violations, event.Job+" is shown as done before "+task)
					}
				}
			}
		}
	}
	return violations
}

// checkAcceptedJobsKept: an accepted job isn't forgotten, and none is shown as canceled
// unless that was requested.
func checkAcceptedJobsKept(h *History) (violations []string) {
	for _, event := range h.Events {
		submitted := h.Jobs[event.Job]
		if event.Kind != EventJobShown || submitted == nil {
			continue
		}
		if submitted.Accepted && event.State == jobGone {
			violations = append(violations, event.Job+" was accepted and is unknown")
		}
		if event.State == jobCanceled && !submitted.CancelRequested {
			violations = append(violations, event.Job+" is shown as canceled, which nobody requested")
		}
	}
	return violations
}

// checkRejectedJobsNeverRun: a job that every node clearly refused never runs.
func checkRejectedJobsNeverRun(h *History) (violations []string) {
	for _, event := range h.Events {
		job, _, _ := splitTaskID(event.Task)
		if submitted := h.Jobs[job]; event.Kind == EventRunStarted && submitted != nil && submitted.Rejected {
			violations = append(violations, event.Task+" starts though every attempt to submit its job was refused")
		}
	}
	return violations
}

// checkDraining: nothing starts on a runner whose agent has acknowledged for some time
// that it drains.
func checkDraining(h *History) (violations []string) {
	since := map[string]time.Time{}
	for _, event := range h.Events {
		switch event.Kind {
		case EventDraining:
			since[event.Incarnation] = event.At
		case EventRunStarted:
			if drainingSince := since[event.Incarnation]; !drainingSince.IsZero() && event.At.Sub(drainingSince) > drainGrace {
				violations = append(violations, event.Task+" starts on draining "+event.Node)
			}
		}
	}
	return violations
}

// checkEvacuations: nothing starts in a zone later than evacuationGrace after its evacuation
// was acknowledged, until it is taken back.
func checkEvacuations(h *History) (violations []string) {
	since := map[string]time.Time{}
	for _, event := range h.Events {
		zone := h.zones[event.Node]
		switch {
		case event.Kind == EventEvacuated && since[event.Node].IsZero():
			since[event.Node] = event.At
		case event.Kind == EventTakenBack:
			delete(since, event.Node)
		case event.Kind == EventRunStarted && !since[zone].IsZero() && event.At.Sub(since[zone]) > evacuationGrace:
			violations = append(violations, event.Task+" starts on "+event.Node+" in an evacuated zone")
		}
	}
	return violations
}
