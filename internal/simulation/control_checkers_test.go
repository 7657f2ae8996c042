package simulation

import (
	"strings"
	"testing"
	"time"
)

// atSecond is a time in a made-up history.
func atSecond(s float64) time.Time {
	return time.Unix(100, 0).Add(time.Duration(s * float64(time.Second)))
}

func replaceCall(s float64, v, base int64, text string, code int) Call {
	return Call{Sent: atSecond(s), Done: atSecond(s + 0.1), Node: "a", Kind: CallReplace, Version: v, Base: base, Text: text, Code: code}
}

func readCall(s float64, v int64, text string) Call {
	return Call{Sent: atSecond(s), Done: atSecond(s + 0.1), Node: "a", Kind: CallRead, Version: v, Text: text, Code: 200}
}

func timedCall(s, after float64, kind string, code int, retry bool) Call {
	return Call{Sent: atSecond(s), Done: atSecond(s + after), Node: "a", Kind: kind, Code: code, HasRetryAfter: retry}
}

// TestConfigurationCheckerCatchesPlantedViolations: each demand on the configuration can
// fail.
func TestConfigurationCheckerCatchesPlantedViolations(t *testing.T) {
	bad := replaceCall(3, 5, 2, "x", 200)
	bad.Invalid = true
	none := Call{Sent: atSecond(3), Done: atSecond(3.1), Node: "a", Kind: CallRead, Code: 404}
	for name, c := range map[string]struct {
		want  string
		calls []Call
	}{
		"both racers":          {"both on 2", []Call{replaceCall(1, 3, 2, "x", 200), replaceCall(1, 4, 2, "y", 200)}},
		"one number twice":     {"two configurations of version 3", []Call{replaceCall(1, 3, 2, "x", 200), replaceCall(1, 3, 2, "y", 0), readCall(2, 3, "x"), readCall(3, 3, "y")}},
		"sent again":           {"acknowledged, and refused with 412", []Call{replaceCall(1, 3, 2, "x", 200), replaceCall(2, 3, 2, "x", 412)}},
		"refused and read":     {"refused with 412 and is in force", []Call{replaceCall(1, 3, 2, "x", 412), readCall(2, 3, "x")}},
		"refused and built on": {"refused with 409 and is in force", []Call{replaceCall(1, 3, 2, "x", 409), replaceCall(2, 4, 3, "y", 200)}},
		"old read":             {"after 3 was acknowledged", []Call{replaceCall(0, 2, 1, "w", 0), replaceCall(1, 3, 2, "x", 200), readCall(2, 2, "w")}},
		"read goes back":       {"after 3 was read", []Call{replaceCall(0, 2, 1, "w", 0), replaceCall(1, 3, 2, "x", 0), readCall(2, 3, "x"), readCall(3, 2, "w")}},
		"nothing is read":      {"after 3 was acknowledged", []Call{replaceCall(1, 3, 2, "x", 200), none}},
		"sent by nobody":       {"that nobody sent", []Call{readCall(2, 3, "x")}},
		"passed over":          {"though 3 was in force", []Call{replaceCall(1, 3, 2, "x", 200), replaceCall(2, 4, 1, "y", 200)}},
		"invalid":              {"is invalid and was accepted", []Call{bad}},
	} {
		h := NewHistory()
		h.Calls = c.calls
		got := strings.Join(h.Violations(), "; ")
		if !strings.Contains(got, "CONFIG:") || !strings.Contains(got, c.want) {
			t.Errorf("%s was not caught, only %q", name, got)
		}
	}
}

// TestIsolationCheckerCatchesPlantedViolations: each demand on isolated nodes can fail.
func TestIsolationCheckerCatchesPlantedViolations(t *testing.T) {
	cut := []Event{{At: atSecond(0), Kind: EventIsolated, Node: "a"}, {At: atSecond(20), Kind: EventReconnected, Node: "a"}}
	for name, c := range map[string]struct {
		want string
		call Call
	}{
		"silent":        {"no answer", timedCall(5, 1, CallRead, 0, false)},
		"old read":      {"it confirms", timedCall(5, 0.1, CallRead, 200, false)},
		"confirms":      {"it confirms", timedCall(5, 0.1, CallReplace, 200, false)},
		"404":           {"refuses for good", timedCall(5, 0.1, CallStatus, 404, false)},
		"410":           {"refuses for good", timedCall(5, 0.1, CallStatus, 410, false)},
		"409":           {"refuses for good", timedCall(5, 0.1, CallReplace, 409, false)},
		"412":           {"refuses for good", timedCall(5, 0.1, CallReplace, 412, false)},
		"422":           {"refuses for good", timedCall(5, 0.1, CallReplace, 422, false)},
		"unclear":       {"want 503", timedCall(5, 0.1, CallReplace, 504, false)},
		"late":          {"too late", timedCall(5, 1.2, CallStatus, 503, true)},
		"no time given": {"no time to come back", timedCall(5, 0.1, CallStatus, 503, false)},
	} {
		h := NewHistory()
		h.Events, h.Calls = cut, []Call{c.call}
		if got := strings.Join(h.Violations(), "; "); !strings.Contains(got, "ALONE:") || !strings.Contains(got, c.want) {
			t.Errorf("%s was not caught, only %q", name, got)
		}
	}
}

// TestCorrectOperatorsViolateNothing: what the protocol allows is no violation.
func TestCorrectOperatorsViolateNothing(t *testing.T) {
	h := NewHistory()
	h.Events = []Event{{At: atSecond(20), Kind: EventIsolated, Node: "a"}, {At: atSecond(40), Kind: EventReconnected, Node: "a"}}
	bad := replaceCall(4, 9, 3, "bad", 400)
	bad.Invalid = true
	h.Calls = []Call{
		replaceCall(1, 3, 0, "x", 0), replaceCall(2, 3, 0, "x", 200), replaceCall(3, 3, 0, "x", 200), // sent again
		replaceCall(2, 4, 0, "y", 412), // lost its race
		bad,
		replaceCall(5, 5, 3, "z", 0), readCall(5.05, 3, "x"), readCall(6, 5, "z"), // unclear, and in force
		replaceCall(7, 6, 5, "w", 0), readCall(8, 5, "z"), // unclear, and not in force
		timedCall(20.5, 0.1, CallStatus, 410, false), timedCall(39.5, 1, CallStatus, 410, false), // at the edges of the cut
		timedCall(30, 0.1, CallReplace, 503, true),
	}
	if violations := h.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
}
