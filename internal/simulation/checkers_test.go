package simulation

import (
	"strings"
	"testing"
	"time"
)

// TestEachCheckerCatchesAPlantedViolation: no checker is one that can't fail.
func TestEachCheckerCatchesAPlantedViolation(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(100, 0).Add(time.Duration(s * float64(time.Second))) }
	start := func(s float64, node, task string, run int) Event {
		return Event{At: at(s), Kind: EventRunStarted, Node: node, Incarnation: node, Task: task, Run: run, JobSpec: "x", EnforcesCapacity: true}
	}
	end := func(s float64, node, task string, run int, how string, n int64) Event {
		return Event{At: at(s), Kind: EventRunEnded, Node: node, Incarnation: node, Task: task, Run: run, Outcome: how, Completion: n}
	}
	note := func(s float64, node string, n int64) Event {
		return Event{At: at(s), Kind: EventAcknowledged, Node: node, Incarnation: node, Completion: n}
	}
	two := &SubmittedJob{JobSpec: "x", TaskCounts: []int{1, 1}, Dependencies: [][]int{nil, {0}}, MaxAttempts: 1, Accepted: true}
	off := &SubmittedJob{JobSpec: "x", TaskCounts: []int{1}, MaxAttempts: 3, Accepted: true, CanceledAt: at(1)}
	no := &SubmittedJob{JobSpec: "x", TaskCounts: []int{1}, MaxAttempts: 3, Rejected: true}
	over := start(1, "a", "j.0.0.0", 1)
	over.EnforcesCapacity, over.CPUInUse, over.CPUCapacity = false, 9, 8
	for name, c := range map[string]struct {
		rule  string
		facts []Event
	}{
		"at once":         {"TWICE", []Event{start(1, "a", "j.0.0.0", 1), start(2, "b", "j.0.0.0", 2)}},
		"after done":      {"TWICE", []Event{start(1, "a", "j.0.0.0", 1), end(2, "a", "j.0.0.0", 1, "done", 1), note(3, "a", 1), start(4, "b", "j.0.0.0", 2)}},
		"too early":       {"ORDER", []Event{start(1, "a", "j.0.1.0", 1)}},
		"tries used up":   {"BUDGET", []Event{start(1, "a", "j.0.0.0", 1), end(2, "a", "j.0.0.0", 1, "failed", 1), note(2, "a", 1), start(3, "a", "j.0.0.0", 2)}},
		"over the room":   {"LIMIT", []Event{over}},
		"by nobody":       {"UNASKED", []Event{start(1, "a", "x.0.0.0", 1)}},
		"called off":      {"UNASKED", []Event{start(5, "a", "off.0.0.0", 1)}},
		"shown too early": {"MIXED", []Event{{At: at(1), Kind: EventJobShown, Job: "j", State: "done"}}},
		"forgotten":       {"LOST", []Event{{At: at(1), Kind: EventJobShown, Job: "j", State: "410"}}},
		"off by nobody":   {"LOST", []Event{{At: at(1), Kind: EventJobShown, Job: "j", State: "called_off"}}},
		"ordered again": {"REPEATED", []Event{start(1, "a", "j.0.0.0", 1), end(2, "a", "j.0.0.0", 1, "done", 1),
			{At: at(3), Kind: EventListed, Incarnation: "a", Task: "j.0.0.0", Run: 1}, {At: at(4), Kind: EventStartRequested, Incarnation: "a", Task: "j.0.0.0", Run: 1}}},
		"turned away": {"REFUSED", []Event{start(1, "a", "no.0.0.0", 1)}},
		"over quota":  {"QUOTA", []Event{start(1, "a", "wide7.0.0.0", 1), start(2, "b", "wide7.0.0.1", 1)}},
		"no such key": {"ROUTE", nil},
		"draining":    {"DRAIN", []Event{{At: at(1), Kind: EventDraining, Node: "a", Incarnation: "a"}, start(4, "a", "j.0.0.0", 1)}},
		"evacuated":   {"EVAC", []Event{{At: at(1), Kind: EventEvacuated, Node: "zone"}, start(7, "a", "j.0.0.0", 1)}},
	} {
		h := NewHistory()
		h.zones["a"] = "zone"
		h.Jobs["j"], h.Jobs["off"], h.Jobs["no"] = two, off, no
		h.Jobs["wide7"] = &SubmittedJob{JobSpec: "x", TaskCounts: []int{2}, MilliCPU: []int64{boundTenantMilliCPU}, MaxAttempts: 3, Accepted: true}
		h.Jobs["key"] = &SubmittedJob{JobSpec: "x", TaskCounts: []int{1}, MaxAttempts: 3, Accepted: name == "no such key", UnknownKey: true}
		h.Events = c.facts
		got := strings.Join(h.Violations(), "; ")
		if !strings.Contains(got, c.rule+":") {
			t.Errorf("%s: %s was not caught, only %q", name, c.rule, got)
		}
	}
}

func TestCorrectHistoryViolatesNothing(t *testing.T) {
	h := NewHistory()
	h.Jobs["j"] = &SubmittedJob{JobSpec: "x", TaskCounts: []int{1}, Dependencies: [][]int{nil}, MaxAttempts: 2, Accepted: true}
	h.zones["a"], h.zones["b"] = "zone-a", "zone-b"
	for _, event := range []Event{
		{Kind: EventEvacuated, Node: "zone-a"},
		{Kind: EventTakenBack, Node: "zone-a"},
		{Kind: EventRunStarted, Node: "a", Incarnation: "a", Task: "j.0.0.0", Run: 1, JobSpec: "x", EnforcesCapacity: true},
		{Kind: EventRunEnded, Node: "a", Incarnation: "a", Task: "j.0.0.0", Run: 1, Outcome: "failed", Completion: 1},
		{Kind: EventAcknowledged, Node: "a", Incarnation: "a", Completion: 1},
		{Kind: EventRunStarted, Node: "b", Incarnation: "b", Task: "j.0.0.0", Run: 2, JobSpec: "x", EnforcesCapacity: true},
		{Kind: EventRunEnded, Node: "b", Incarnation: "b", Task: "j.0.0.0", Run: 2, Outcome: "done", Completion: 1},
		{Kind: EventJobShown, Job: "j", State: "done"},
	} {
		h.record(event)
	}
	if b := h.Violations(); len(b) > 0 {
		t.Error(b)
	}
}
