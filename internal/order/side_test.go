package order

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/member"
	"tealpond/internal/setting"
	"tealpond/internal/trace"
	"tealpond/internal/wire"
)

// TestStuckIsToldFromRestoring: nbo-tealpond trouble-1 seed 12 stopped a
// resumed run on one worker after another while it read its saved text.
func TestStuckIsToldFromRestoring(t *testing.T) {
	const task = "j.0.0.0"
	for name, c := range map[string]struct {
		saved string
		est   int64
		seen  []int // percent at looks 300 ms apart
		stuck bool
	}{
		"restoring, then on":      {"x", 6000, []int{78, 78, 78, 78, 80, 84}, false},
		"restored, then still":    {"x", 6000, []int{78, 78, 78, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80}, true},
		"short and still":         {"", 300, []int{10, 60, 60, 60, 60}, true},
		"long, a point at a time": {"", 60000, []int{0, 0, 1, 1, 2, 2, 3, 3}, false},
		"still from the start":    {"", 300, []int{0, 0, 0, 0}, true},
	} {
		s := &Side{log: log.NewNopLogger(), now: time.Unix(1000, 0), set: setting.Setting{Bounds: setting.Bounds{RestoreMs: 600}}}
		l := &life{runs: map[string]*run{}}
		r := &run{order: member.Order{Worker: "w", Task: task, Run: 1, Saved: c.saved, EstMs: c.est}, st: started, begun: s.now, pctAt: s.now}
		for _, p := range c.seen {
			s.now = s.now.Add(300 * time.Millisecond)
			s.progress(l, r, wire.Run{Task: task, Run: 1, Percent: p})
		}
		if r.stopIt != c.stuck {
			t.Errorf("%s: stuck %v, want %v", name, r.stopIt, c.stuck)
		}
	}
}

// TestOrderOfAnEndedRunIsIgnored: nbo-tealpond scale-1, seed 15, broke TWICE.
// The leader was cut off while an end was on its way; the next one, which knew
// nothing of it, ordered the run again; the runner was full and turned it away
// for room, and the refusal closed the booking before the end did.
func TestOrderOfAnEndedRunIsIgnored(t *testing.T) {
	s := &Side{log: log.NewNopLogger(), now: time.Unix(1000, 0), trace: trace.NewRing(8), in: make(chan Event, 64), ctx: t.Context()}
	s.seek = member.NewSeeker(s.log, "", nil, nil, nil, nil)
	l := &life{id: "w", fence: 3, runs: map[string]*run{}}
	s.cur = l
	o := member.Order{Worker: "w", Fence: 3, Task: "j.0.0.1", Run: 1, EstMs: 100}
	s.onOrder(o)
	if len(l.runs) != 1 {
		t.Fatal("the order was not taken")
	}
	s.onLists(l, wire.Hold{}, 1, Reply{Code: 200, Lists: wire.Lists{ClockMs: 5, Ended: [][]any{{float64(1), "j.0.0.1", float64(1), "done", ""}}}})
	s.onOrder(o)
	o.Stop = true
	s.onOrder(o)
	if len(l.runs) != 0 {
		t.Error("a run that is over was taken up again")
	}
	o.Run, o.Stop = 2, false
	s.onOrder(o)
	if len(l.runs) != 1 {
		t.Error("the next run of the task was not taken")
	}
}
