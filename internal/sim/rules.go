package sim

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// Fact is one thing that a stand-in saw.
type Fact struct {
	At     time.Time
	Kind   string
	Node   string
	Life   string
	Task   string
	Run    int
	How    string
	N      int64
	Spec   string
	CPU    int64
	Room   int64
	Guards bool
	Job    string
	State  string
}

// Handed is a job as its sender knows it.
type Handed struct {
	Spec    string
	Deps    [][]int
	Counts  []int
	Tries   int
	Taken   bool      // some try was accepted
	Refused bool      // every try was turned away
	OffAt   time.Time // a cancel was acknowledged
	OffWant bool      // a cancel was sent, with whatever answer
	Twice   bool
}

// History is all that was seen in one run.
type History struct {
	mu    sync.Mutex
	Facts []Fact
	Calls []Call
	Jobs  map[string]*Handed
	fails map[string]int // runs that failed so far, by task
}

// NewHistory builds an empty one.
func NewHistory() *History { return &History{Jobs: map[string]*Handed{}, fails: map[string]int{}} }

func (h *History) add(f Fact) {
	h.mu.Lock()
	f.At = time.Now()
	h.Facts = append(h.Facts, f)
	h.mu.Unlock()
}

func jobOf(task string) (string, int, string) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return task, 0, ""
	}
	step := 0
	_, _ = fmt.Sscan(p[2], &step)
	return p[0], step, p[1]
}

// rules are the checkers, by the rules' names.
var rules = map[string]func(*History) []string{
	"TWICE": twice, "ORDER": ordered, "BUDGET": budget, "LIMIT": limit, "UNASKED": unasked, "MIXED": mixed, "LOST": lost, "REFUSED": refused, "DRAIN": drain,
	"CONFIG": configuration, "ALONE": alone, "REPEATED": repeated,
}

// Broken holds all rules against the history.
func (h *History) Broken() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for name, f := range rules {
		for _, why := range f(h) {
			out = append(out, name+": "+why)
		}
	}
	sort.Strings(out)
	return out
}

type runKey struct {
	life, task string
	run        int
}

type endKey struct {
	life string
	n    int64
}

// kept are the ends as done that were taken note of while the hold under which
// they ended had not lapsed: for good.
func kept(h *History) map[endKey]bool {
	out, open := map[endKey]bool{}, map[endKey]bool{}
	for _, f := range h.Facts {
		k := endKey{f.Life, f.N}
		switch f.Kind {
		case "end":
			if f.How == "done" {
				open[k] = true
			}
		case "lapse":
			for o := range open {
				if o.life == f.Life {
					delete(open, o)
				}
			}
		case "note":
			if open[k] {
				out[k] = true
				delete(open, k)
			}
		}
	}
	return out
}

func twice(h *History) (out []string) {
	on := map[string]map[runKey]bool{}
	noted, done := kept(h), map[string]bool{}
	for _, f := range h.Facts {
		job, _, _ := jobOf(f.Task)
		j := h.Jobs[job]
		k := runKey{f.Life, f.Task, f.Run}
		switch f.Kind {
		case "start":
			if j != nil && j.Twice {
				continue
			}
			if on[f.Task] == nil {
				on[f.Task] = map[runKey]bool{}
			}
			if len(on[f.Task]) > 0 {
				out = append(out, fmt.Sprintf("%s run %d starts on %s while it runs elsewhere", f.Task, f.Run, f.Node))
			}
			if done[f.Task] {
				out = append(out, f.Task+" starts again after it was done and noted")
			}
			on[f.Task][k] = true
		case "end":
			delete(on[f.Task], k)
			if f.How == "done" && noted[endKey{f.Life, f.N}] {
				done[f.Task] = true
			}
		}
	}
	return out
}

// repeated are the orders to start a run that had ended there, as its runner
// had listed by then (PROTOCOL: after silence the lists are asked for first).
func repeated(h *History) (out []string) {
	listed := map[runKey]bool{}
	for _, f := range h.Facts {
		k := runKey{f.Life, f.Task, f.Run}
		switch f.Kind {
		case "listed":
			listed[k] = true
		case "order":
			if listed[k] {
				out = append(out, fmt.Sprintf("%s run %d is ordered again on %s after its end was listed", f.Task, f.Run, f.Node))
			}
		}
	}
	return out
}

func ordered(h *History) (out []string) {
	done := map[string]bool{}
	for _, f := range h.Facts {
		if f.Kind == "end" && f.How == "done" {
			done[f.Task] = true
		}
		if f.Kind != "start" {
			continue
		}
		job, step, k := jobOf(f.Task)
		j := h.Jobs[job]
		if j == nil || step >= len(j.Deps) {
			continue
		}
		for _, d := range j.Deps[step] {
			for x := range j.Counts[d] {
				if t := fmt.Sprintf("%s.%s.%d.%d", job, k, d, x); !done[t] {
					out = append(out, f.Task+" starts before "+t+" is done")
				}
			}
		}
	}
	return out
}

func budget(h *History) (out []string) {
	fails, where := map[string]int{}, map[endKey]string{}
	for _, f := range h.Facts {
		switch f.Kind {
		case "end":
			if f.How == "failed" {
				where[endKey{f.Life, f.N}] = f.Task
			}
		case "note":
			if t, ok := where[endKey{f.Life, f.N}]; ok {
				fails[t]++
			}
		case "start":
			job, _, _ := jobOf(f.Task)
			if j := h.Jobs[job]; j != nil && j.Tries > 0 && fails[f.Task] >= j.Tries {
				out = append(out, f.Task+" starts after its tries were used up")
			}
		}
	}
	return out
}

func limit(h *History) (out []string) {
	for _, f := range h.Facts {
		if f.Kind == "start" && !f.Guards && f.CPU > f.Room {
			out = append(out, fmt.Sprintf("%s puts %s at %d of %d", f.Task, f.Node, f.CPU, f.Room))
		}
	}
	return out
}

func unasked(h *History) (out []string) {
	for _, f := range h.Facts {
		if f.Kind != "start" {
			continue
		}
		job, _, _ := jobOf(f.Task)
		j := h.Jobs[job]
		switch {
		case j == nil:
			out = append(out, f.Task+" was handed in by nobody")
		case j.Spec != f.Spec:
			out = append(out, f.Task+" starts with another jobSpec")
		case !j.OffAt.IsZero() && f.At.Sub(j.OffAt) > 3*time.Second:
			out = append(out, f.Task+" starts after its job was called off")
		}
	}
	return out
}

func mixed(h *History) (out []string) {
	done := map[string]bool{}
	for _, f := range h.Facts {
		switch f.Kind {
		case "end":
			if f.How == "done" {
				done[f.Task] = true
			}
		case "shown":
			j := h.Jobs[f.Job]
			if f.State != "done" || j == nil {
				continue
			}
			for s, n := range j.Counts {
				for x := range n {
					if t := fmt.Sprintf("%s.0.%d.%d", f.Job, s, x); !done[t] {
						out = append(out, f.Job+" is shown as done before "+t)
					}
				}
			}
		}
	}
	return out
}

func lost(h *History) (out []string) {
	for _, f := range h.Facts {
		j := h.Jobs[f.Job]
		if f.Kind != "shown" || j == nil {
			continue
		}
		if j.Taken && f.State == "410" {
			out = append(out, f.Job+" was accepted and is unknown")
		}
		if f.State == "called_off" && !j.OffWant {
			out = append(out, f.Job+" is shown as called off with no cause")
		}
	}
	return out
}

func refused(h *History) (out []string) {
	for _, f := range h.Facts {
		job, _, _ := jobOf(f.Task)
		if j := h.Jobs[job]; f.Kind == "start" && j != nil && j.Refused {
			out = append(out, f.Task+" starts though every try was turned away")
		}
	}
	return out
}

func drain(h *History) (out []string) {
	since := map[string]time.Time{}
	for _, f := range h.Facts {
		switch f.Kind {
		case "draining":
			since[f.Life] = f.At
		case "start":
			if t := since[f.Life]; !t.IsZero() && f.At.Sub(t) > 2*time.Second {
				out = append(out, f.Task+" starts on draining "+f.Node)
			}
		}
	}
	return out
}
