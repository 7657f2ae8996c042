package simulation

import (
	"fmt"
	"sort"
	"time"
)

// checkers are the invariant checkers, keyed by the names of the operators' rules.
// Each returns a line for every violation.
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

// Times within which an acknowledged order must have taken effect at all runners.
const (
	cancelGrace = 3 * time.Second
	// evacuationGrace is also the setting evacuateMs of the simulated nodes.
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

// runKey identifies a run on one incarnation of a runner.
type runKey struct {
	incarnation, task string
	run               int
}

// completionKey identifies the end of a run by its sequence number at its runner.
type completionKey struct {
	incarnation string
	number      int64
}

// durableCompletions returns the successful completions that were acknowledged before
// the lease under which they happened expired. Such a task stays done permanently.
func durableCompletions(h *History) map[completionKey]bool {
	durable, pending := map[completionKey]bool{}, map[completionKey]bool{}
	for _, event := range h.Events {
		key := completionKey{event.Incarnation, event.Completion}
		switch event.Kind {
		case EventRunEnded:
			if event.Outcome == runDone {
				pending[key] = true
			}
		case EventLeaseExpired:
			for other := range pending {
				if other.incarnation == event.Incarnation {
					delete(pending, other)
				}
			}
		case EventAcknowledged:
			if pending[key] {
				durable[key] = true
				delete(pending, key)
			}
		}
	}
	return durable
}

// checkNoDoubleRun verifies that a task has at most one run at a time, and does not run
// again after a durable completion. Jobs that allow copies are left out.
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
				violations = append(violations, event.Task+" starts again after its completion was acknowledged")
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

// checkNoRepeatedStart verifies that no start is requested for a run whose end its runner
// has already listed. The protocol requires an agent to read the list of ends first when
// it has had no contact with its runner.
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

// checkDependencies verifies that a task starts only when all tasks of the steps on which
// its step depends are done.
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

// checkAttempts verifies that a task does not start once as many of its failures were
// acknowledged as it has attempts.
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

// checkCapacity verifies that runners that don't enforce their capacity themselves are not
// allocated more than it.
func checkCapacity(h *History) (violations []string) {
	for _, event := range h.Events {
		if event.Kind == EventRunStarted && !event.EnforcesCapacity && event.CPUInUse > event.CPUCapacity {
			violations = append(violations, fmt.Sprintf("%s puts %s at %d of %d thousandths of a core", event.Task, event.Node, event.CPUInUse, event.CPUCapacity))
		}
	}
	return violations
}

// checkSubmitted verifies that each task that starts belongs to a submitted job, has that
// job's spec, and that the job was not canceled more than cancelGrace before.
func checkSubmitted(h *History) (violations []string) {
	for _, event := range h.Events {
		if event.Kind != EventRunStarted {
			continue
		}
		job, _, _ := splitTaskID(event.Task)
		submitted := h.Jobs[job]
		switch {
		case submitted == nil:
			violations = append(violations, event.Task+" starts though its job was never submitted")
		case submitted.JobSpec != event.JobSpec:
			violations = append(violations, event.Task+" starts with a jobSpec that differs from the submitted one")
		case !submitted.CanceledAt.IsZero() && event.At.Sub(submitted.CanceledAt) > cancelGrace:
			violations = append(violations, event.Task+" starts after its job was canceled")
		}
	}
	return violations
}

// checkDoneIsComplete verifies that a job is reported as done only when all its tasks are.
func checkDoneIsComplete(h *History) (violations []string) {
	done := map[string]bool{}
	for _, event := range h.Events {
		switch event.Kind {
		case EventRunEnded:
			if event.Outcome == runDone {
				done[event.Task] = true
			}
		case EventJobStateReported:
			submitted := h.Jobs[event.Job]
			if event.State != jobDone || submitted == nil {
				continue
			}
			for step, n := range submitted.TaskCounts {
				for index := range n {
					if task := fmt.Sprintf("%s.0.%d.%d", event.Job, step, index); !done[task] {
						violations = append(violations, event.Job+" is reported as done before "+task)
					}
				}
			}
		}
	}
	return violations
}

// checkAcceptedJobsKept verifies that accepted jobs are not lost, and that no job is reported
// as canceled unless a cancel was requested.
func checkAcceptedJobsKept(h *History) (violations []string) {
	for _, event := range h.Events {
		submitted := h.Jobs[event.Job]
		if event.Kind != EventJobStateReported || submitted == nil {
			continue
		}
		if submitted.Accepted && event.State == jobGone {
			violations = append(violations, event.Job+" was accepted but is reported as unknown")
		}
		if event.State == jobCanceled && !submitted.CancelRequested {
			violations = append(violations, event.Job+" is reported as canceled though no cancel was requested")
		}
	}
	return violations
}

// checkRejectedJobsNeverRun verifies that a job never runs if every attempt to submit it was
// refused.
func checkRejectedJobsNeverRun(h *History) (violations []string) {
	for _, event := range h.Events {
		job, _, _ := splitTaskID(event.Task)
		if submitted := h.Jobs[job]; event.Kind == EventRunStarted && submitted != nil && submitted.Rejected {
			violations = append(violations, event.Task+" starts though every attempt to submit its job was refused")
		}
	}
	return violations
}

// checkDraining verifies that nothing starts on a runner later than drainGrace after its agent
// acknowledged that it drains.
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

// checkEvacuations verifies that nothing starts in a zone later than evacuationGrace after its
// evacuation was acknowledged, until the evacuation is ended.
func checkEvacuations(h *History) (violations []string) {
	since := map[string]time.Time{}
	for _, event := range h.Events {
		zone := h.zones[event.Node]
		switch {
		case event.Kind == EventEvacuated && since[event.Node].IsZero():
			since[event.Node] = event.At
		case event.Kind == EventEvacuationEnded:
			delete(since, event.Node)
		case event.Kind == EventRunStarted && !since[zone].IsZero() && event.At.Sub(since[zone]) > evacuationGrace:
			violations = append(violations, event.Task+" starts on "+event.Node+" in an evacuated zone")
		}
	}
	return violations
}
