package soak

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/standin"
)

// Bounds are the operators' limits that the checker applies.
type Bounds struct {
	Grace time.Duration // how long a daemon may take to end after SIGTERM
	// UnforwardedLimit is the time after its last byte was sent within which a request that reached no
	// runner may be lost. Pipelined requests have no such limit.
	UnforwardedLimit time.Duration
	// InTouch: the loss of a request is excused if its daemon got SIGKILL, SIGSTOP or SIGCONT less than
	// this long before the request was sent, or later but before the request ended.
	InTouch time.Duration
}

// The loss of a request is excused if its runner was still working on it in the last
// excusedGraceFraction of the grace period, it was lost after the beginning of that part, and it was
// sent at the latest excusedSendTime after the SIGTERM.
const (
	excusedGraceFraction = 1.0 / 6
	excusedSendTime      = 3 * time.Second
)

// deadlineReserve is how long before its client's deadline an answer must be sent. Requests that end
// later are not checked for loss.
const deadlineReserve = 100 * time.Millisecond

// Violation is a violation of a rule by a request or a process.
type Violation struct {
	Rule    string
	Text    string
	Request Request
}

// String returns the rule and a description of the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: request %s (%s, %s) at %s", v.Rule, v.Text, v.Request.ID, v.Request.Kind, v.Request.Profile, v.Request.Daemon)
}

// Check checks a record against the rules and returns all violations.
func Check(record Record, bounds Bounds) []Violation {
	var violations []Violation
	c := checker{record, bounds}
	for _, request := range record.Requests {
		for _, found := range []struct{ rule, text string }{
			{"LOST", c.lost(request)},
			{"TWICE", c.ranTwice(request)},
			{"PROMISE", c.ranDespiteRejection(request)},
			{"ANSWER", c.notFromRunner(request)},
		} {
			if found.text != "" {
				violations = append(violations, Violation{found.rule, found.text, request})
			}
		}
	}
	return append(violations, c.abnormalExits()...)
}

// checker checks the requests and processes of a record.
type checker struct {
	record Record
	bounds Bounds
}

// lost describes how a request that a daemon had accepted was lost; empty if it was not lost.
func (c checker) lost(request Request) string {
	runs := c.record.Runs[request.ID]
	runAborted := len(runs) > 0 && runs[len(runs)-1].Aborted
	ownAnswer := request.Outcome == OutcomeAnswered && runAborted && !request.FromRunner && request.Status >= http.StatusInternalServerError && !abortedByRunner(runs)
	if request.Outcome == OutcomeAnswered && !ownAnswer || request.Outcome == OutcomeUnsent || c.excused(request) {
		return ""
	}
	switch {
	case ownAnswer:
		return fmt.Sprintf("daemon sent its own answer %d while a runner worked on the request", request.Status)
	case len(runs) > 0:
		return fmt.Sprintf("%s after reaching a runner", request.Outcome)
	case !request.Pipelined && request.EndedAt.Sub(request.SentAt) > c.bounds.UnforwardedLimit:
		return fmt.Sprintf("%s %d ms after it was sent", request.Outcome, request.EndedAt.Sub(request.SentAt).Milliseconds())
	}
	return ""
}

// excused reports whether the rules excuse the loss of a request.
func (c checker) excused(request Request) bool {
	if !request.EndedAt.Before(request.Deadline.Add(-deadlineReserve)) || abortedByRunner(c.record.Runs[request.ID]) {
		return true
	}
	for _, action := range c.record.Actions {
		if action.Daemon != request.Daemon || action.At.After(request.EndedAt) {
			continue
		}
		switch action.Signal {
		case syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGCONT:
			if action.At.After(request.SentAt.Add(-c.bounds.InTouch)) {
				return true
			}
		case syscall.SIGTERM:
			if c.ranUntilGraceEnd(request, action.At) {
				return true
			}
		}
	}
	return false
}

// ranUntilGraceEnd reports whether a runner was still working on a request in the last part of the
// grace period after a SIGTERM, and the request was sent soon enough to be excused.
func (c checker) ranUntilGraceEnd(request Request, signalAt time.Time) bool {
	lastPartStart := signalAt.Add(time.Duration(float64(c.bounds.Grace) * (1 - excusedGraceFraction)))
	if request.SentAt.After(signalAt.Add(excusedSendTime)) || request.EndedAt.Before(lastPartStart) {
		return false
	}
	for _, run := range c.record.Runs[request.ID] {
		if run.EndedAt.IsZero() || !run.EndedAt.Before(lastPartStart) {
			return true
		}
	}
	return false
}

// abortedByRunner reports whether the last runner of a request had ended when the run did.
func abortedByRunner(runs []standin.Run) bool {
	return len(runs) > 0 && runs[len(runs)-1].RunnerEnded
}

// ranTwice describes a request of a kind that may run only once and ran more often; empty if there is
// no violation.
func (c checker) ranTwice(request Request) string {
	once := request.Kind == protocol.KindWriting || request.Kind == protocol.KindUpload
	if runs := len(c.record.Runs[request.ID]); once && runs > 1 {
		return fmt.Sprintf("ran %d times, want at most 1", runs)
	}
	return ""
}

// ranDespiteRejection describes a request that ran although its answer rejected it; empty if there is
// no violation.
func (c checker) ranDespiteRejection(request Request) string {
	rejected := request.Outcome == OutcomeAnswered && (request.Status == http.StatusServiceUnavailable || request.Status == http.StatusTooManyRequests)
	if rejected && len(c.record.Runs[request.ID]) > 0 {
		return fmt.Sprintf("answered with %d although it ran", request.Status)
	}
	return ""
}

// notFromRunner describes a successful answer that is not the runner's; empty if there is no violation.
func (c checker) notFromRunner(request Request) string {
	if request.Outcome == OutcomeAnswered && request.Status < http.StatusMultipleChoices && !request.FromRunner {
		return fmt.Sprintf("answered with %d, but not by a runner", request.Status)
	}
	return ""
}

// startupTime is how long after its start a process may be terminated by a signal's default action:
// the runtime and its packages may take that long before the program can handle signals. The daemon
// serves no clients until then.
const startupTime = 30 * time.Millisecond

// abnormalExits returns violations for processes that ended neither with exit status 0 nor by SIGKILL,
// except those that a signal ended within startupTime.
func (c checker) abnormalExits() []Violation {
	var violations []Violation
	for _, exit := range c.record.Exits {
		bySignal := strings.HasPrefix(exit.State, "signal:")
		if exit.State == "exit status 0" || strings.Contains(exit.State, "killed") || bySignal && exit.At.Sub(exit.StartedAt) < startupTime {
			continue
		}
		violations = append(violations, Violation{Rule: "END", Text: "process ended with " + exit.State, Request: Request{Daemon: exit.Daemon, EndedAt: exit.At}})
	}
	return violations
}
