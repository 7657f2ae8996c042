package simulation

import (
	"strings"
	"testing"
	"time"
)

// atSecond returns a time in a constructed history.
func atSecond(seconds float64) time.Time {
	return time.Unix(100, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func replaceCall(seconds float64, version, base int64, text string, code int) Call {
	return Call{Sent: atSecond(seconds), Done: atSecond(seconds + 0.1), Node: "a", Kind: CallReplace, Version: version, Base: base, Text: text, Code: code}
}

func readCall(seconds float64, version int64, text string) Call {
	return Call{Sent: atSecond(seconds), Done: atSecond(seconds + 0.1), Node: "a", Kind: CallRead, Version: version, Text: text, Code: 200}
}

func timedCall(seconds, duration float64, kind string, code int, hasRetryAfter bool) Call {
	return Call{Sent: atSecond(seconds), Done: atSecond(seconds + duration), Node: "a", Kind: kind, Code: code, HasRetryAfter: hasRetryAfter}
}

// TestConfigurationCheckerCatchesPlantedViolations checks that a violation of each requirement
// on the configuration is detected.
func TestConfigurationCheckerCatchesPlantedViolations(t *testing.T) {
	invalid := replaceCall(3, 5, 2, "x", 200)
	invalid.Invalid = true
	notFound := Call{Sent: atSecond(3), Done: atSecond(3.1), Node: "a", Kind: CallRead, Code: 404}
	for name, c := range map[string]struct {
		want  string
		calls []Call
	}{
		"both concurrent changes":   {"both on 2", []Call{replaceCall(1, 3, 2, "x", 200), replaceCall(1, 4, 2, "y", 200)}},
		"one version for two texts": {"two configurations of version 3", []Call{replaceCall(1, 3, 2, "x", 200), replaceCall(1, 3, 2, "y", 0), readCall(2, 3, "x"), readCall(3, 3, "y")}},
		"refused when resent":       {"acknowledged, and refused with 412", []Call{replaceCall(1, 3, 2, "x", 200), replaceCall(2, 3, 2, "x", 412)}},
		"refused and read":          {"refused with 412 and is in force", []Call{replaceCall(1, 3, 2, "x", 412), readCall(2, 3, "x")}},
		"refused and built on":      {"refused with 409 and is in force", []Call{replaceCall(1, 3, 2, "x", 409), replaceCall(2, 4, 3, "y", 200)}},
		"stale read":                {"after 3 was acknowledged", []Call{replaceCall(0, 2, 1, "w", 0), replaceCall(1, 3, 2, "x", 200), readCall(2, 2, "w")}},
		"read goes back":            {"after 3 was read", []Call{replaceCall(0, 2, 1, "w", 0), replaceCall(1, 3, 2, "x", 0), readCall(2, 3, "x"), readCall(3, 2, "w")}},
		"read of no configuration":  {"after 3 was acknowledged", []Call{replaceCall(1, 3, 2, "x", 200), notFound}},
		"never sent":                {"which was never sent", []Call{readCall(2, 3, "x")}},
		"base is not the newest":    {"though 3 was in force", []Call{replaceCall(1, 3, 2, "x", 200), replaceCall(2, 4, 1, "y", 200)}},
		"invalid":                   {"is invalid and was accepted", []Call{invalid}},
	} {
		h := NewHistory()
		h.Calls = c.calls
		got := strings.Join(h.Violations(), "; ")
		if !strings.Contains(got, "CONFIG:") || !strings.Contains(got, c.want) {
			t.Errorf("%s was not caught, only %q", name, got)
		}
	}
}

// TestIsolationCheckerCatchesPlantedViolations checks that a violation of each requirement on
// isolated nodes is detected.
func TestIsolationCheckerCatchesPlantedViolations(t *testing.T) {
	isolation := []Event{{At: atSecond(0), Kind: EventIsolated, Node: "a"}, {At: atSecond(20), Kind: EventReconnected, Node: "a"}}
	for name, c := range map[string]struct {
		want string
		call Call
	}{
		"no response":         {"no response", timedCall(5, 1, CallRead, 0, false)},
		"read is answered":    {"success without a majority", timedCall(5, 0.1, CallRead, 200, false)},
		"change is confirmed": {"success without a majority", timedCall(5, 0.1, CallReplace, 200, false)},
		"404":                 {"final refusal", timedCall(5, 0.1, CallStatus, 404, false)},
		"410":                 {"final refusal", timedCall(5, 0.1, CallStatus, 410, false)},
		"409":                 {"final refusal", timedCall(5, 0.1, CallReplace, 409, false)},
		"412":                 {"final refusal", timedCall(5, 0.1, CallReplace, 412, false)},
		"422":                 {"final refusal", timedCall(5, 0.1, CallReplace, 422, false)},
		"unknown outcome":     {"want 503", timedCall(5, 0.1, CallReplace, 504, false)},
		"late":                {"response after the timeout", timedCall(5, 1.2, CallStatus, 503, true)},
		"no Retry-After":      {"no Retry-After header", timedCall(5, 0.1, CallStatus, 503, false)},
	} {
		h := NewHistory()
		h.Events, h.Calls = isolation, []Call{c.call}
		if got := strings.Join(h.Violations(), "; "); !strings.Contains(got, "ALONE:") || !strings.Contains(got, c.want) {
			t.Errorf("%s was not caught, only %q", name, got)
		}
	}
}

// TestCorrectOperatorsViolateNothing checks that calls that the protocol allows are not reported
// as violations.
func TestCorrectOperatorsViolateNothing(t *testing.T) {
	h := NewHistory()
	h.Events = []Event{{At: atSecond(20), Kind: EventIsolated, Node: "a"}, {At: atSecond(40), Kind: EventReconnected, Node: "a"}}
	invalid := replaceCall(4, 9, 3, "bad", 400)
	invalid.Invalid = true
	h.Calls = []Call{
		replaceCall(1, 3, 0, "x", 0), replaceCall(2, 3, 0, "x", 200), replaceCall(3, 3, 0, "x", 200), // resent after an unknown outcome and after 200
		replaceCall(2, 4, 0, "y", 412), // lost against a concurrent change
		invalid,
		replaceCall(5, 5, 3, "z", 0), readCall(5.05, 3, "x"), readCall(6, 5, "z"), // unknown outcome, in force
		replaceCall(7, 6, 5, "w", 0), readCall(8, 5, "z"), // unknown outcome, not in force
		timedCall(20.5, 0.1, CallStatus, 410, false), timedCall(39.5, 1, CallStatus, 410, false), // within the limits at both ends of the isolation
		timedCall(30, 0.1, CallReplace, 503, true),
	}
	if violations := h.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
}
