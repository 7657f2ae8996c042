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

// testBounds are the bounds of the tests of the checker.
var testBounds = Bounds{Grace: 6 * time.Second, LostTime: 200 * time.Millisecond, InTouch: 5 * time.Second}

// second returns a time so many seconds after the beginning of a record.
func second(s float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(s * float64(time.Second)))
}

// cutRequest is a request that was sent at second 10 and cut at second 11, at a runner.
func cutRequest() Record {
	request := Request{ID: "a", Daemon: "n", Kind: protocol.KindReadOnly, SentAt: second(10), Deadline: second(20), EndedAt: second(11), Ending: EndClosed}
	return Record{
		Requests: []Request{request},
		Runs:     map[string][]standin.Run{"a": {{Attempt: "a", Runner: "r", BeganAt: second(10.1), EndedAt: second(11), Broken: true}}},
		Actions:  []Action{{At: second(10.5), Daemon: "n", Signal: syscall.SIGTERM}},
	}
}

// TestCheckFindsPlantedViolations: each broken rule is found, and what the rules excuse
// isn't one.
func TestCheckFindsPlantedViolations(t *testing.T) {
	for _, test := range []struct {
		name string
		rule string // empty: nothing is broken
		text string
		edit func(record *Record, request *Request)
	}{
		{"cut at a runner", "LOST", "closed after it had reached a runner", func(*Record, *Request) {}},
		{"reset at a runner", "LOST", "reset after", func(_ *Record, q *Request) { q.Ending = EndReset }},
		{"behind another, at a runner", "LOST", "closed after", func(_ *Record, q *Request) { q.Behind = true }},
		{"behind another, nowhere", "", "", func(r *Record, q *Request) { q.Behind, r.Runs = true, nil }},
		{"nowhere, late", "LOST", "1000 ms after it was sent", func(r *Record, _ *Request) { r.Runs = nil }},
		{"nowhere, at once", "", "", func(r *Record, q *Request) { r.Runs, q.EndedAt = nil, second(10.1) }},
		{"not sent whole", "", "", func(_ *Record, q *Request) { q.Ending = EndUnsent }},
		{"own answer while at work", "LOST", "504 of the daemon's own", func(_ *Record, q *Request) { q.Ending, q.Status = EndAnswered, http.StatusGatewayTimeout }},
		{"answered", "", "", func(_ *Record, q *Request) { q.Ending, q.Status, q.Sealed = EndAnswered, http.StatusOK, true }},
		{"deadline reached", "", "", func(_ *Record, q *Request) { q.Deadline = second(11) }},
		{"runner ended", "", "", func(r *Record, _ *Request) { r.Runs["a"][0].RunnerEnded = true }},
		{"killed", "", "", func(r *Record, _ *Request) {
			r.Actions = append(r.Actions, Action{At: second(10.9), Daemon: "n", Signal: syscall.SIGKILL})
		}},
		{"another killed", "LOST", "closed", func(r *Record, _ *Request) {
			r.Actions = append(r.Actions, Action{At: second(10.9), Daemon: "m", Signal: syscall.SIGKILL})
		}},
		{"killed long before", "LOST", "closed", func(r *Record, _ *Request) {
			r.Actions = append(r.Actions, Action{At: second(4.9), Daemon: "n", Signal: syscall.SIGKILL})
		}},
		{"at work to the end", "", "", func(r *Record, q *Request) { q.EndedAt, r.Runs["a"][0].EndedAt = second(16.4), second(16.4) }},
		{"at work to the end, sent late", "LOST", "closed", func(r *Record, q *Request) {
			r.Actions[0].At, q.EndedAt, r.Runs["a"][0].EndedAt = second(6.9), second(12.8), second(12.8)
		}},
		{"cut before the last part", "LOST", "closed", func(r *Record, q *Request) { q.EndedAt, r.Runs["a"][0].EndedAt = second(15), second(15) }},
		{"done, and cut in the last part", "LOST", "closed", func(r *Record, q *Request) { q.EndedAt, r.Runs["a"][0].EndedAt = second(16.4), second(14) }},
		{"empty success", "ANSWER", "200, and not by a runner", func(_ *Record, q *Request) { q.Ending, q.Status = EndAnswered, http.StatusOK }},
		{"promise", "PROMISE", "503, and it ran", func(r *Record, q *Request) {
			q.Ending, q.Status, r.Runs["a"][0].Broken = EndAnswered, http.StatusServiceUnavailable, false
		}},
		{"write at two runners", "TWICE", "2 times", func(r *Record, q *Request) {
			q.Ending, q.Status, q.Sealed, q.Kind = EndAnswered, http.StatusOK, true, protocol.KindWriting
			r.Runs["a"] = append(r.Runs["a"], standin.Run{Attempt: "a", Runner: "s"})
		}},
		{"ended with a fault as it starts", "END", "exit status 1", func(r *Record, q *Request) {
			q.Ending, q.Status, q.Sealed = EndAnswered, http.StatusOK, true
			r.Exits = []localcluster.Exit{{Daemon: "n", StartedAt: second(2), At: second(2.01), State: "exit status 1"}}
		}},
		{"ended by a signal", "END", "signal: hangup", func(r *Record, q *Request) {
			q.Ending, q.Status, q.Sealed = EndAnswered, http.StatusOK, true
			r.Exits = []localcluster.Exit{
				{Daemon: "n", StartedAt: second(1), At: second(1.031), State: "signal: hangup"},
				{Daemon: "n", StartedAt: second(2), At: second(2.029), State: "signal: hangup"},
				{Daemon: "m", State: "signal: killed"},
				{Daemon: "m", State: "exit status 0"},
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			record := cutRequest()
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

// TestSchedulesRepeat: a seed draws the same schedule each time, and another seed another.
func TestSchedulesRepeat(t *testing.T) {
	for seed := range uint64(64) {
		first := Draw(seed, 5, 12*time.Second)
		if again := Draw(seed, 5, 12*time.Second); first.String() != again.String() {
			t.Errorf("seed %d: %s\nand %s", seed, first, again)
		}
		if other := Draw(seed+1, 5, 12*time.Second); first.String() == other.String() {
			t.Errorf("seeds %d and %d draw the same", seed, seed+1)
		}
	}
}
