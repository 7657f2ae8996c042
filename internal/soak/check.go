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

// Bounds are the figures of the operators' rules that the checker needs.
type Bounds struct {
	Grace    time.Duration // from a SIGTERM on
	LostTime time.Duration // after its last byte, by which a request that goes nowhere may be cut
	InTouch  time.Duration // how long before a request trouble excuses its loss
}

// Parts of the grace time and of the time after a SIGTERM within which a request whose
// runner is still at work at the end is excused.
const (
	excusedGraceFraction = 1.0 / 6
	excusedSendTime      = 3 * time.Second
)

// deadlineReserve is how long before its client's deadline an answer must be on its way.
const deadlineReserve = 100 * time.Millisecond

// Violation is a broken rule.
type Violation struct {
	Rule    string
	Text    string
	Request Request
}

// String names the rule and what broke it.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: request %s (%s, %s) at %s", v.Rule, v.Text, v.Request.ID, v.Request.Kind, v.Request.Habit, v.Request.Daemon)
}

// Check holds a record against the rules and gives all violations.
func Check(record Record, bounds Bounds) []Violation {
	var violations []Violation
	c := checker{record, bounds}
	for _, request := range record.Requests {
		for _, found := range []struct{ rule, text string }{
			{"LOST", c.lost(request)},
			{"TWICE", c.ranTwice(request)},
			{"PROMISE", c.brokenPromise(request)},
			{"ANSWER", c.falseAnswer(request)},
		} {
			if found.text != "" {
				violations = append(violations, Violation{found.rule, found.text, request})
			}
		}
	}
	return append(violations, c.falseExits()...)
}

// checker holds requests of a record against the rules.
type checker struct {
	record Record
	bounds Bounds
}

// lost tells how a request that a daemon had taken was lost; empty: it wasn't.
func (c checker) lost(request Request) string {
	runs := c.record.Runs[request.ID]
	ranBroken := len(runs) > 0 && runs[len(runs)-1].Broken
	ownInstead := request.Ending == EndAnswered && ranBroken && !request.Sealed && request.Status >= http.StatusInternalServerError && !brokenByRunner(runs)
	if request.Ending == EndAnswered && !ownInstead || request.Ending == EndUnsent || c.excused(request) {
		return ""
	}
	switch {
	case ownInstead:
		return fmt.Sprintf("answered with %d of the daemon's own while its runner was at work", request.Status)
	case len(runs) > 0:
		return fmt.Sprintf("%s after it had reached a runner", request.Ending)
	case !request.Behind && request.EndedAt.Sub(request.SentAt) > c.bounds.LostTime:
		return fmt.Sprintf("%s %d ms after it was sent", request.Ending, request.EndedAt.Sub(request.SentAt).Milliseconds())
	}
	return ""
}

// excused reports whether the rules excuse the loss of a request.
func (c checker) excused(request Request) bool {
	if !request.EndedAt.Before(request.Deadline.Add(-deadlineReserve)) || brokenByRunner(c.record.Runs[request.ID]) {
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
			if c.workedToTheEnd(request, action.At) {
				return true
			}
		}
	}
	return false
}

// workedToTheEnd reports whether a runner was still at work on a request in the last part of
// the grace time after a signal, and the request was sent soon after the signal.
func (c checker) workedToTheEnd(request Request, signalAt time.Time) bool {
	lastPart := signalAt.Add(time.Duration(float64(c.bounds.Grace) * (1 - excusedGraceFraction)))
	if request.SentAt.After(signalAt.Add(excusedSendTime)) || request.EndedAt.Before(lastPart) {
		return false
	}
	for _, run := range c.record.Runs[request.ID] {
		if run.EndedAt.IsZero() || !run.EndedAt.Before(lastPart) {
			return true
		}
	}
	return false
}

// brokenByRunner reports whether the last runner of a request ended before it was done.
func brokenByRunner(runs []standin.Run) bool {
	return len(runs) > 0 && runs[len(runs)-1].RunnerEnded
}

// ranTwice reports whether a request that may run once only ran more often.
func (c checker) ranTwice(request Request) string {
	once := request.Kind == protocol.KindWriting || request.Kind == protocol.KindUpload
	if runs := len(c.record.Runs[request.ID]); once && runs > 1 {
		return fmt.Sprintf("it ran %d times", runs)
	}
	return ""
}

// brokenPromise reports whether a client was told that a request would never run, and it ran.
func (c checker) brokenPromise(request Request) string {
	promised := request.Ending == EndAnswered && (request.Status == http.StatusServiceUnavailable || request.Status == http.StatusTooManyRequests)
	if promised && len(c.record.Runs[request.ID]) > 0 {
		return fmt.Sprintf("answered with %d, and it ran", request.Status)
	}
	return ""
}

// falseAnswer reports whether a success is not the runner's answer.
func (c checker) falseAnswer(request Request) string {
	if request.Ending == EndAnswered && request.Status < http.StatusMultipleChoices && !request.Sealed {
		return fmt.Sprintf("answered with %d, and not by a runner", request.Status)
	}
	return ""
}

// startTime is how long after the start of a process the system's own effect of signals is
// not held against it: so long the runtime and its packages may take before the program has
// a say. Nobody is served by then.
const startTime = 30 * time.Millisecond

// falseExits finds processes that ended otherwise than in order or by SIGKILL.
func (c checker) falseExits() []Violation {
	var violations []Violation
	for _, exit := range c.record.Exits {
		bySignal := strings.HasPrefix(exit.State, "signal:")
		if exit.State == "exit status 0" || strings.Contains(exit.State, "killed") || bySignal && exit.At.Sub(exit.StartedAt) < startTime {
			continue
		}
		violations = append(violations, Violation{Rule: "END", Text: "a process ended with " + exit.State, Request: Request{Daemon: exit.Daemon, EndedAt: exit.At}})
	}
	return violations
}
