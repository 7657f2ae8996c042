package simulation

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// soundCoordination returns a history without violations: two callers hold a lock one
// after the other, numbers and revisions increase, and a watch is notified of both puts.
func soundCoordination(start time.Time) *CoordinationHistory {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	put := func(value string, expected, revision int64, ms int) KeyCall {
		return KeyCall{Key: "g.k", Put: true, Value: value, Expected: expected, Revision: revision, Code: http.StatusOK, Sent: at(ms), Done: at(ms + 10)}
	}
	events := []protocol.WatchEvent{{Name: "g.k", Value: "one", Revision: 1}, {Name: "g.k", Value: "two", Revision: 2}}
	return &CoordinationHistory{
		Holds: []*LockHold{
			{Lock: "l", Holder: "a", Fence: 1, RequestedAt: at(0), From: at(10), Until: at(500)},
			{Lock: "l", Holder: "b", Fence: 2, RequestedAt: at(490), From: at(510), Until: at(900)},
		},
		Numbers: []IssuedNumber{{"n", 1, at(0), at(10)}, {"n", 2, at(20), at(30)}},
		Keys: []KeyCall{
			put("one", 0, 1, 0), put("two", 1, 2, 20),
			{Key: "g.k", Put: true, Value: "refused", Expected: 7, Revision: 2, Code: http.StatusPreconditionFailed, Sent: at(40), Done: at(50)},
			{Key: "g.k", Value: "two", Revision: 2, Code: http.StatusOK, Sent: at(60), Done: at(70)},
		},
		Watches: []WatchCall{
			{Group: "g.", Code: http.StatusOK, Response: protocol.WatchResponse{Revision: 2, Events: events}, Sent: at(0), Done: at(100)},
			{Group: "g.", After: 2, Code: http.StatusOK, Response: protocol.WatchResponse{Revision: 2}, Sent: at(110), Done: at(200)},
		},
	}
}

// TestCoordinationCheckerCatchesPlantedViolations violates each rule and checks that the report
// names the rule.
func TestCoordinationCheckerCatchesPlantedViolations(t *testing.T) {
	start := time.Now()
	if violations := checkCoordination(soundCoordination(start), watchHistoryLength); len(violations) > 0 {
		t.Fatalf("violations in a history without any: %v", violations)
	}
	for name, test := range map[string]struct {
		rule  string
		plant func(h *CoordinationHistory)
	}{
		"two holders at once":                  {"ONE", func(h *CoordinationHistory) { h.Holds[1].From = h.Holds[0].Until.Add(-time.Millisecond) }},
		"one fence for two holders":            {"ONE", func(h *CoordinationHistory) { h.Holds[1].Fence = 1 }},
		"a fence below an earlier one":         {"ONE", func(h *CoordinationHistory) { h.Holds[0].Fence = 5 }},
		"a number given twice":                 {"ORDER", func(h *CoordinationHistory) { h.Numbers[1].Value = 1 }},
		"a number below an earlier one":        {"ORDER", func(h *CoordinationHistory) { h.Numbers[0].Value = 9 }},
		"a put succeeds over a later revision": {"linearizable", func(h *CoordinationHistory) { h.Keys[1].Expected = 0 }},
		"a stale read":                         {"linearizable", func(h *CoordinationHistory) { h.Keys[3].Value, h.Keys[3].Revision = "one", 1 }},
		"a read of nothing after a put": {"linearizable", func(h *CoordinationHistory) {
			h.Keys[3] = KeyCall{Key: "g.k", Code: 404, Sent: h.Keys[3].Sent, Done: h.Keys[3].Done}
		}},
		"a value that was never put": {"MIXED", func(h *CoordinationHistory) { h.Keys[3].Value = "other" }},
		"a value under two revisions": {"MIXED", func(h *CoordinationHistory) {
			h.Watches[0].Response.Events[1].Revision, h.Watches[0].Response.Revision = 3, 3
		}},
		"a refusal with an unknown revision": {"MIXED", func(h *CoordinationHistory) { h.Keys[2].Revision = 9 }},
		"a refused put is visible":           {"REFUSED", func(h *CoordinationHistory) { h.Watches[0].Response.Events[1].Value = "refused" }},
		"a put answered with 503 is visible": {"REFUSED", func(h *CoordinationHistory) { h.Keys[1].Code = http.StatusServiceUnavailable }},
		"events of a watch out of order": {"ORDER", func(h *CoordinationHistory) {
			h.Watches[0].Response.Events[0], h.Watches[0].Response.Events[1] = h.Watches[0].Response.Events[1], h.Watches[0].Response.Events[0]
		}},
		"a watch skips a put": {"ORDER", func(h *CoordinationHistory) { h.Watches[0].Response.Events = h.Watches[0].Response.Events[1:] }},
		"a recent revision can't be resumed from": {"LOST", func(h *CoordinationHistory) {
			h.Watches[1].Code, h.Watches[1].Response = http.StatusGone, protocol.WatchResponse{}
		}},
	} {
		h := soundCoordination(start)
		test.plant(h)
		violations := checkCoordination(h, watchHistoryLength)
		if !strings.Contains(strings.Join(violations, "\n"), test.rule) {
			t.Errorf("%s: want a violation of %s, got %v", name, test.rule, violations)
		}
	}
}
