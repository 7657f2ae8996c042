package simulation

import (
	"strings"
	"testing"
	"time"
)

// TestEachCheckerCatchesAPlantedViolation checks that each checker detects a violation of its rule.
func TestEachCheckerCatchesAPlantedViolation(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(100, 0).Add(time.Duration(s * float64(time.Second))) }
	start := func(s float64, node, task string, run int) Event {
		return Event{At: at(s), Kind: EventRunStarted, Node: node, Incarnation: node, Task: task, Run: run, JobSpec: "x", EnforcesCapacity: true}
	}
	end := func(s float64, node, task string, run int, outcome string, completion int64) Event {
		return Event{At: at(s), Kind: EventRunEnded, Node: node, Incarnation: node, Task: task, Run: run, Outcome: outcome, Completion: completion}
	}
	acknowledge := func(s float64, node string, completion int64) Event {
		return Event{At: at(s), Kind: EventAcknowledged, Node: node, Incarnation: node, Completion: completion}
	}
	twoSteps := &SubmittedJob{JobSpec: "x", TaskCounts: []int{1, 1}, Dependencies: [][]int{nil, {0}}, MaxAttempts: 1, Accepted: true}
	canceled := &SubmittedJob{JobSpec: "x", TaskCounts: []int{1}, MaxAttempts: 3, Accepted: true, CanceledAt: at(1)}
	rejected := &SubmittedJob{JobSpec: "x", TaskCounts: []int{1}, MaxAttempts: 3, Rejected: true}
	overCapacity := start(1, "a", "j.0.0.0", 1)
	overCapacity.EnforcesCapacity, overCapacity.CPUInUse, overCapacity.CPUCapacity = false, 9, 8
	for name, c := range map[string]struct {
		rule   string
		events []Event
	}{
		"two runs at once":            {"TWICE", []Event{start(1, "a", "j.0.0.0", 1), start(2, "b", "j.0.0.0", 2)}},
		"run after completion":        {"TWICE", []Event{start(1, "a", "j.0.0.0", 1), end(2, "a", "j.0.0.0", 1, "done", 1), acknowledge(3, "a", 1), start(4, "b", "j.0.0.0", 2)}},
		"start before its dependency": {"ORDER", []Event{start(1, "a", "j.0.1.0", 1)}},
		"attempts used up":            {"BUDGET", []Event{start(1, "a", "j.0.0.0", 1), end(2, "a", "j.0.0.0", 1, "failed", 1), acknowledge(2, "a", 1), start(3, "a", "j.0.0.0", 2)}},
		"over capacity":               {"LIMIT", []Event{overCapacity}},
		"never submitted":             {"UNASKED", []Event{start(1, "a", "x.0.0.0", 1)}},
		"start after cancel":          {"UNASKED", []Event{start(5, "a", "canceled.0.0.0", 1)}},
		"reported done too early":     {"MIXED", []Event{{At: at(1), Kind: EventJobStateReported, Job: "j", State: "done"}}},
		"accepted job lost":           {"LOST", []Event{{At: at(1), Kind: EventJobStateReported, Job: "j", State: "410"}}},
		"canceled without a request":  {"LOST", []Event{{At: at(1), Kind: EventJobStateReported, Job: "j", State: "called_off"}}},
		"start requested again": {"REPEATED", []Event{start(1, "a", "j.0.0.0", 1), end(2, "a", "j.0.0.0", 1, "done", 1),
			{At: at(3), Kind: EventListed, Incarnation: "a", Task: "j.0.0.0", Run: 1}, {At: at(4), Kind: EventStartRequested, Incarnation: "a", Task: "j.0.0.0", Run: 1}}},
		"start of a rejected job":    {"REFUSED", []Event{start(1, "a", "rejected.0.0.0", 1)}},
		"over quota":                 {"QUOTA", []Event{start(1, "a", "wide7.0.0.0", 1), start(2, "b", "wide7.0.0.1", 1)}},
		"unknown key":                {"ROUTE", nil},
		"start while draining":       {"DRAIN", []Event{{At: at(1), Kind: EventDraining, Node: "a", Incarnation: "a"}, start(4, "a", "j.0.0.0", 1)}},
		"start in an evacuated zone": {"EVAC", []Event{{At: at(1), Kind: EventEvacuated, Node: "zone"}, start(7, "a", "j.0.0.0", 1)}},
	} {
		h := NewHistory()
		h.zones["a"] = "zone"
		h.Jobs["j"], h.Jobs["canceled"], h.Jobs["rejected"] = twoSteps, canceled, rejected
		h.Jobs["wide7"] = &SubmittedJob{JobSpec: "x", TaskCounts: []int{2}, MilliCPU: []int64{limitedTenantMilliCPU}, MaxAttempts: 3, Accepted: true}
		h.Jobs["key"] = &SubmittedJob{JobSpec: "x", TaskCounts: []int{1}, MaxAttempts: 3, Accepted: name == "unknown key", UnknownKey: true}
		h.Events = c.events
		got := strings.Join(h.Violations(), "; ")
		if !strings.Contains(got, c.rule+":") {
			t.Errorf("%s: no violation of %s was reported, only %q", name, c.rule, got)
		}
	}
}

func TestCorrectHistoryViolatesNothing(t *testing.T) {
	h := NewHistory()
	h.Jobs["j"] = &SubmittedJob{JobSpec: "x", TaskCounts: []int{1}, Dependencies: [][]int{nil}, MaxAttempts: 2, Accepted: true}
	h.zones["a"], h.zones["b"] = "zone-a", "zone-b"
	for _, event := range []Event{
		{Kind: EventEvacuated, Node: "zone-a"},
		{Kind: EventEvacuationEnded, Node: "zone-a"},
		{Kind: EventRunStarted, Node: "a", Incarnation: "a", Task: "j.0.0.0", Run: 1, JobSpec: "x", EnforcesCapacity: true},
		{Kind: EventRunEnded, Node: "a", Incarnation: "a", Task: "j.0.0.0", Run: 1, Outcome: "failed", Completion: 1},
		{Kind: EventAcknowledged, Node: "a", Incarnation: "a", Completion: 1},
		{Kind: EventRunStarted, Node: "b", Incarnation: "b", Task: "j.0.0.0", Run: 2, JobSpec: "x", EnforcesCapacity: true},
		{Kind: EventRunEnded, Node: "b", Incarnation: "b", Task: "j.0.0.0", Run: 2, Outcome: "done", Completion: 1},
		{Kind: EventJobStateReported, Job: "j", State: "done"},
	} {
		h.record(event)
	}
	if violations := h.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
}
