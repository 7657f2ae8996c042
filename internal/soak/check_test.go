package soak

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"tealpond/internal/localcluster"
	"tealpond/internal/protocol"
	"tealpond/internal/standin"
)

// testBounds are the bounds that the tests of the checker use.
var testBounds = Bounds{Grace: 6 * time.Second, UnforwardedLimit: 200 * time.Millisecond, InTouch: 5 * time.Second}

// second returns the time s seconds after the beginning of a record.
func second(s float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(s * float64(time.Second)))
}

// recordOfCutRequest returns a record with one request, which was sent at second 10, reached a runner
// and was cut at second 11 after a SIGTERM at second 10.5.
func recordOfCutRequest() Record {
	request := Request{ID: "a", Daemon: "n", Kind: protocol.KindReadOnly, SentAt: second(10), Deadline: second(20), EndedAt: second(11), Outcome: OutcomeClosed}
	return Record{
		Requests: []Request{request},
		Runs:     map[string][]standin.Run{"a": {{AttemptID: "a", RunnerID: "r", StartedAt: second(10.1), EndedAt: second(11), Aborted: true}}},
		Actions:  []Action{{At: second(10.5), Daemon: "n", Signal: syscall.SIGTERM}},
	}
}

// TestCheckFindsPlantedViolations checks that each kind of violation is found, and that what the rules
// excuse is not reported.
func TestCheckFindsPlantedViolations(t *testing.T) {
	for _, test := range []struct {
		name string
		rule string // empty: no violation
		text string
		edit func(record *Record, request *Request)
	}{
		{"closed at a runner", "LOST", "closed after reaching a runner", func(*Record, *Request) {}},
		{"reset at a runner", "LOST", "reset after", func(_ *Record, q *Request) { q.Outcome = OutcomeReset }},
		{"pipelined, at a runner", "LOST", "closed after", func(_ *Record, q *Request) { q.Pipelined = true }},
		{"pipelined, not forwarded", "", "", func(r *Record, q *Request) { q.Pipelined, r.Runs = true, nil }},
		{"not forwarded, cut late", "LOST", "1000 ms after it was sent", func(r *Record, _ *Request) { r.Runs = nil }},
		{"not forwarded, cut early", "", "", func(r *Record, q *Request) { r.Runs, q.EndedAt = nil, second(10.1) }},
		{"not sent completely", "", "", func(_ *Record, q *Request) { q.Outcome = OutcomeUnsent }},
		{"daemon's own answer during a run", "LOST", "daemon sent its own answer 504", func(_ *Record, q *Request) { q.Outcome, q.Status = OutcomeAnswered, http.StatusGatewayTimeout }},
		{"answered", "", "", func(_ *Record, q *Request) { q.Outcome, q.Status, q.FromRunner = OutcomeAnswered, http.StatusOK, true }},
		{"deadline reached", "", "", func(_ *Record, q *Request) { q.Deadline = second(11) }},
		{"runner ended", "", "", func(r *Record, _ *Request) { r.Runs["a"][0].RunnerEnded = true }},
		{"killed", "", "", func(r *Record, _ *Request) {
			r.Actions = append(r.Actions, Action{At: second(10.9), Daemon: "n", Signal: syscall.SIGKILL})
		}},
		{"another daemon killed", "LOST", "closed", func(r *Record, _ *Request) {
			r.Actions = append(r.Actions, Action{At: second(10.9), Daemon: "m", Signal: syscall.SIGKILL})
		}},
		{"killed long before", "LOST", "closed", func(r *Record, _ *Request) {
			r.Actions = append(r.Actions, Action{At: second(4.9), Daemon: "n", Signal: syscall.SIGKILL})
		}},
		{"run lasts until the end of the grace period", "", "", func(r *Record, q *Request) { q.EndedAt, r.Runs["a"][0].EndedAt = second(16.4), second(16.4) }},
		{"run lasts until the end of the grace period, sent late", "LOST", "closed", func(r *Record, q *Request) {
			r.Actions[0].At, q.EndedAt, r.Runs["a"][0].EndedAt = second(6.9), second(12.8), second(12.8)
		}},
		{"cut before the last part of the grace period", "LOST", "closed", func(r *Record, q *Request) { q.EndedAt, r.Runs["a"][0].EndedAt = second(15), second(15) }},
		{"run done, cut in the last part of the grace period", "LOST", "closed", func(r *Record, q *Request) { q.EndedAt, r.Runs["a"][0].EndedAt = second(16.4), second(14) }},
		{"empty success", "ANSWER", "200, but not by a runner", func(_ *Record, q *Request) { q.Outcome, q.Status = OutcomeAnswered, http.StatusOK }},
		{"rejected but ran", "PROMISE", "503 although it ran", func(r *Record, q *Request) {
			q.Outcome, q.Status, r.Runs["a"][0].Aborted = OutcomeAnswered, http.StatusServiceUnavailable, false
		}},
		{"write at two runners", "TWICE", "2 times", func(r *Record, q *Request) {
			q.Outcome, q.Status, q.FromRunner, q.Kind = OutcomeAnswered, http.StatusOK, true, protocol.KindWriting
			r.Runs["a"] = append(r.Runs["a"], standin.Run{AttemptID: "a", RunnerID: "s"})
		}},
		{"exit status 1 at startup", "END", "exit status 1", func(r *Record, q *Request) {
			q.Outcome, q.Status, q.FromRunner = OutcomeAnswered, http.StatusOK, true
			r.Exits = []localcluster.Exit{{Daemon: "n", StartedAt: second(2), At: second(2.01), State: "exit status 1"}}
		}},
		{"ended by a signal", "END", "signal: hangup", func(r *Record, q *Request) {
			q.Outcome, q.Status, q.FromRunner = OutcomeAnswered, http.StatusOK, true
			r.Exits = []localcluster.Exit{
				{Daemon: "n", StartedAt: second(1), At: second(1.031), State: "signal: hangup"},
				{Daemon: "n", StartedAt: second(2), At: second(2.029), State: "signal: hangup"},
				{Daemon: "m", State: "signal: killed"},
				{Daemon: "m", State: "exit status 0"},
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			record := recordOfCutRequest()
			test.edit(&record, &record.Requests[0])
			found := Check(record, testBounds)
			switch {
			case test.rule == "" && len(found) > 0:
				t.Errorf("found %v", found)
			case test.rule != "" && (len(found) != 1 || found[0].Rule != test.rule || !strings.Contains(found[0].Text, test.text)):
				t.Errorf("found %v, want %s: %s", found, test.rule, test.text)
			}
		})
	}
}

// TestSchedulesAreDeterministic checks that a seed always gives the same schedule, and the next seed a
// different one.
func TestSchedulesAreDeterministic(t *testing.T) {
	for seed := range uint64(64) {
		first := GenerateSchedule(seed, 5, 12*time.Second)
		if again := GenerateSchedule(seed, 5, 12*time.Second); first.String() != again.String() {
			t.Errorf("seed %d gives two schedules: %s\nand %s", seed, first, again)
		}
		if other := GenerateSchedule(seed+1, 5, 12*time.Second); first.String() == other.String() {
			t.Errorf("seeds %d and %d give the same schedule", seed, seed+1)
		}
	}
}
