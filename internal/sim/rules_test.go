package sim

import (
	"strings"
	"testing"
	"time"
)

// TestEachRuleCatchesAPlantedBreak shows that no checker is one that can't
// fail.
func TestEachRuleCatchesAPlantedBreak(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(100, 0).Add(time.Duration(s * float64(time.Second))) }
	start := func(s float64, node, task string, run int) Fact {
		return Fact{At: at(s), Kind: "start", Node: node, Life: node, Task: task, Run: run, Spec: "x", Guards: true}
	}
	end := func(s float64, node, task string, run int, how string, n int64) Fact {
		return Fact{At: at(s), Kind: "end", Node: node, Life: node, Task: task, Run: run, How: how, N: n}
	}
	note := func(s float64, node string, n int64) Fact {
		return Fact{At: at(s), Kind: "note", Node: node, Life: node, N: n}
	}
	two := &Handed{Spec: "x", Counts: []int{1, 1}, Deps: [][]int{nil, {0}}, Tries: 1, Taken: true}
	off := &Handed{Spec: "x", Counts: []int{1}, Tries: 3, Taken: true, OffAt: at(1)}
	no := &Handed{Spec: "x", Counts: []int{1}, Tries: 3, Refused: true}
	over := start(1, "a", "j.0.0.0", 1)
	over.Guards, over.CPU, over.Room = false, 9, 8
	for name, c := range map[string]struct {
		rule  string
		facts []Fact
	}{
		"at once":         {"TWICE", []Fact{start(1, "a", "j.0.0.0", 1), start(2, "b", "j.0.0.0", 2)}},
		"after done":      {"TWICE", []Fact{start(1, "a", "j.0.0.0", 1), end(2, "a", "j.0.0.0", 1, "done", 1), note(3, "a", 1), start(4, "b", "j.0.0.0", 2)}},
		"too early":       {"ORDER", []Fact{start(1, "a", "j.0.1.0", 1)}},
		"tries used up":   {"BUDGET", []Fact{start(1, "a", "j.0.0.0", 1), end(2, "a", "j.0.0.0", 1, "failed", 1), note(2, "a", 1), start(3, "a", "j.0.0.0", 2)}},
		"over the room":   {"LIMIT", []Fact{over}},
		"by nobody":       {"UNASKED", []Fact{start(1, "a", "x.0.0.0", 1)}},
		"called off":      {"UNASKED", []Fact{start(5, "a", "off.0.0.0", 1)}},
		"shown too early": {"MIXED", []Fact{{At: at(1), Kind: "shown", Job: "j", State: "done"}}},
		"forgotten":       {"LOST", []Fact{{At: at(1), Kind: "shown", Job: "j", State: "410"}}},
		"off by nobody":   {"LOST", []Fact{{At: at(1), Kind: "shown", Job: "j", State: "called_off"}}},
		"ordered again": {"REPEATED", []Fact{start(1, "a", "j.0.0.0", 1), end(2, "a", "j.0.0.0", 1, "done", 1),
			{At: at(3), Kind: "listed", Life: "a", Task: "j.0.0.0", Run: 1}, {At: at(4), Kind: "order", Life: "a", Task: "j.0.0.0", Run: 1}}},
		"turned away": {"REFUSED", []Fact{start(1, "a", "no.0.0.0", 1)}},
		"draining":    {"DRAIN", []Fact{{At: at(1), Kind: "draining", Node: "a", Life: "a"}, start(4, "a", "j.0.0.0", 1)}},
	} {
		h := NewHistory()
		h.Jobs["j"], h.Jobs["off"], h.Jobs["no"] = two, off, no
		h.Facts = c.facts
		got := strings.Join(h.Broken(), "; ")
		if !strings.Contains(got, c.rule+":") {
			t.Errorf("%s: %s was not caught, only %q", name, c.rule, got)
		}
	}
}

func TestSoundHistoryBreaksNothing(t *testing.T) {
	h := NewHistory()
	h.Jobs["j"] = &Handed{Spec: "x", Counts: []int{1}, Deps: [][]int{nil}, Tries: 2, Taken: true}
	for _, f := range []Fact{
		{Kind: "start", Node: "a", Life: "a", Task: "j.0.0.0", Run: 1, Spec: "x", Guards: true},
		{Kind: "end", Node: "a", Life: "a", Task: "j.0.0.0", Run: 1, How: "failed", N: 1},
		{Kind: "note", Node: "a", Life: "a", N: 1},
		{Kind: "start", Node: "b", Life: "b", Task: "j.0.0.0", Run: 2, Spec: "x", Guards: true},
		{Kind: "end", Node: "b", Life: "b", Task: "j.0.0.0", Run: 2, How: "done", N: 1},
		{Kind: "shown", Job: "j", State: "done"},
	} {
		h.add(f)
	}
	if b := h.Broken(); len(b) > 0 {
		t.Error(b)
	}
}
