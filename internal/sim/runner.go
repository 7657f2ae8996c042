package sim

import (
	"context"
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"sync"
	"time"

	"tealpond/internal/agent"
	"tealpond/internal/protocol"
)

// Runner is a stand-in for a runner, by the pages of the protocol. What its
// calls and runs were goes into the history that the rules are held against.
type Runner struct {
	mu      sync.Mutex
	h       *History
	Node    string
	Service string
	Zone    string
	Labels  []string
	Room    protocol.Resources
	Guards  bool
	life    string
	lives   int
	clock0  time.Time
	slow    float64 // its steady clock runs so much slower
	fence   int64
	until   int64
	seen    int64
	nextN   int64
	runs    map[string]*simRun
	top     map[string]int // the highest run that stopped or ended, by task
	ended   []protocol.Completion
	changed chan struct{}
	rnd     *rand.Rand

	Dark    bool    // answers nothing
	Late    float64 // part of the orders carried out late, without an answer
	Hang    bool    // tasks stand still
	Drain   bool
	Shed    bool // answers starts with 503 and beats on
	started int
	seq     int64
}

type simRun struct {
	task string
	run  int
	spec string
	need time.Duration
	did  time.Duration
	from time.Time
}

// NewRunner builds a runner of one life.
func NewRunner(h *History, node, service string, seed int64) *Runner {
	r := &Runner{h: h, Node: node, Service: service, Zone: "z", Labels: []string{"a", "r1"}, Room: protocol.Resources{CPUUnits: 8000, MemoryMB: 8000}, Guards: true,
		changed: make(chan struct{}), rnd: rand.New(rand.NewSource(seed)), slow: 1}
	r.born()
	return r
}

func (r *Runner) born() {
	r.lives++
	r.life = fmt.Sprintf("i-%s-%d", r.Node, r.lives)
	r.clock0 = time.Now().Add(-time.Duration(r.rnd.Intn(100000)) * time.Millisecond)
	r.fence, r.until, r.seen, r.nextN = 0, 0, 0, 0
	r.runs, r.top, r.ended = map[string]*simRun{}, map[string]int{}, nil
}

func (r *Runner) clock() int64 {
	return int64(float64(time.Since(r.clock0).Milliseconds()) / r.slow)
}

// set changes how the runner behaves from now on.
func (r *Runner) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick()
	f()
}

// Crash ends this life; the next one runs nothing and knows no fence.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick()
	for _, x := range r.runs {
		r.h.add(Fact{Kind: "end", Node: r.Node, Life: r.life, Task: x.task, Run: x.run, How: "crashed"})
	}
	r.h.add(Fact{Kind: "life", Node: r.Node, Life: r.life})
	r.born()
}

// tick brings runs and holds up to now.
func (r *Runner) tick() {
	now := time.Now()
	if r.until > 0 && r.clock() > r.until {
		for k, x := range r.runs {
			r.end(k, x, "lapsed")
		}
		r.h.add(Fact{Kind: "lapse", Node: r.Node, Life: r.life})
		r.until = 0
	}
	for k, x := range r.runs {
		if !r.Hang {
			x.did += now.Sub(x.from)
		}
		x.from = now
		if x.did >= x.need {
			how := "done"
			if r.h.fails1(x.task, field(x.spec, "fail")) {
				how = "failed"
			}
			r.end(k, x, how)
		}
	}
}

func (r *Runner) end(k string, x *simRun, how string) {
	delete(r.runs, k)
	r.top[x.task] = max(r.top[x.task], x.run)
	r.nextN++
	r.ended = append(r.ended, protocol.Completion{Sequence: r.nextN, Task: x.task, Run: x.run, Result: how})
	r.h.add(Fact{Kind: "end", Node: r.Node, Life: r.life, Task: x.task, Run: x.run, How: how, N: r.nextN})
	close(r.changed)
	r.changed = make(chan struct{})
}

// fails1 tells whether a run fails, as the first most of its task do.
func (h *History) fails1(task string, most int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fails[task] >= most {
		return false
	}
	h.fails[task]++
	return true
}

func field(spec, name string) int {
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			n, _ := strconv.Atoi(v)
			return n
		}
	}
	return 0
}

// Call is the runner's side of duty_call.
func (r *Runner) Call(ctx context.Context, life, path string, body any) agent.RunnerResponse {
	r.mu.Lock()
	if b, ok := body.(protocol.StartRequest); ok {
		r.h.add(Fact{Kind: "order", Node: r.Node, Life: life, Task: b.TaskID, Run: b.RunID})
	}
	if r.Dark {
		r.mu.Unlock()
		<-ctx.Done()
		return agent.RunnerResponse{}
	}
	if path != "/-/hold" && r.rnd.Float64() < r.Late {
		wait := time.Duration(2000+r.rnd.Intn(10000)) * time.Millisecond
		r.mu.Unlock()
		go func() {
			time.Sleep(wait)
			r.mu.Lock()
			r.do(life, path, body)
			r.mu.Unlock()
		}()
		<-ctx.Done()
		return agent.RunnerResponse{}
	}
	defer r.mu.Unlock()
	if h, ok := body.(protocol.KeepAliveRequest); ok {
		return r.hold(ctx, life, h)
	}
	return r.do(life, path, body)
}

func (r *Runner) no(reason string) agent.RunnerResponse {
	return agent.RunnerResponse{StatusCode: 409, Run: protocol.RunResponse{ClockMs: r.clock(), Reason: reason}}
}

func (r *Runner) do(life, path string, body any) agent.RunnerResponse {
	r.tick()
	if life != r.life {
		return agent.RunnerResponse{StatusCode: 421}
	}
	ok := agent.RunnerResponse{StatusCode: 200, Run: protocol.RunResponse{ClockMs: r.clock()}}
	switch b := body.(type) {
	case protocol.StartRequest:
		if r.Shed {
			return agent.RunnerResponse{StatusCode: 503}
		}
		if b.Fence < r.fence {
			return r.no("fence")
		}
		r.fence = b.Fence
		if b.LeaseUntilMs <= r.clock() {
			return r.no("late")
		}
		r.until = max(r.until, b.LeaseUntilMs)
		k := b.TaskID + "/" + strconv.Itoa(b.RunID)
		if r.runs[k] != nil {
			return ok
		}
		cpu := int64(field(b.Spec, "cpu"))
		for _, x := range r.runs {
			cpu += int64(field(x.spec, "cpu"))
		}
		if cpu > r.Room.CPUUnits && r.Guards {
			// Why before what is old: the pages name no order, and a refusal
			// for room must not be taken for "it never ran here".
			return r.no("room")
		}
		if b.RunID <= r.top[b.TaskID] {
			return r.no("old")
		}
		r.runs[k] = &simRun{task: b.TaskID, run: b.RunID, spec: b.Spec, need: time.Duration(field(b.Spec, "ms")) * time.Millisecond, from: time.Now()}
		r.h.add(Fact{Kind: "start", Node: r.Node, Life: r.life, Task: b.TaskID, Run: b.RunID, Spec: b.Spec, CPU: cpu, Room: r.Room.CPUUnits, Guards: r.Guards})
		r.started++
		go r.later(r.runs[k].need)
	case protocol.StopRequest:
		if b.Fence < r.fence {
			return r.no("fence")
		}
		r.fence = b.Fence
		k := b.TaskID + "/" + strconv.Itoa(b.RunID)
		if x := r.runs[k]; x != nil {
			r.end(k, x, "stopped")
		}
		r.top[b.TaskID] = max(r.top[b.TaskID], b.RunID)
	}
	return ok
}

// later ticks when a run should be over, so that its end is seen in time.
func (r *Runner) later(d time.Duration) {
	time.Sleep(d)
	r.mu.Lock()
	r.tick()
	r.mu.Unlock()
}

// hold is called and returns with r.mu held.
func (r *Runner) hold(ctx context.Context, life string, h protocol.KeepAliveRequest) agent.RunnerResponse {
	r.tick()
	if life != r.life {
		return agent.RunnerResponse{StatusCode: 421}
	}
	if h.Fence < r.fence {
		return r.no("fence")
	}
	r.fence = h.Fence
	if h.LeaseUntilMs > r.until {
		r.until = min(h.LeaseUntilMs, r.clock()+10000)
	}
	if h.AcknowledgedSequence > r.seen {
		for n := r.seen + 1; n <= h.AcknowledgedSequence; n++ {
			r.h.add(Fact{Kind: "note", Node: r.Node, Life: r.life, N: n})
		}
		r.seen = h.AcknowledgedSequence
		keep := r.ended[:0:0]
		for _, e := range r.ended {
			if e.Sequence > r.seen {
				keep = append(keep, e)
			}
		}
		r.ended = keep
	}
	if h.WaitMs > 0 && len(r.ended) == 0 {
		ch := r.changed
		r.mu.Unlock()
		t := time.NewTimer(time.Duration(h.WaitMs) * time.Millisecond)
		select {
		case <-ch:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		r.mu.Lock()
		r.tick()
		if ctx.Err() != nil || life != r.life || r.Dark {
			return agent.RunnerResponse{}
		}
	}
	out := agent.RunnerResponse{StatusCode: 200}
	out.KeepAlive.ClockMs = r.clock()
	out.Run.ClockMs = r.clock()
	for _, x := range r.runs {
		out.KeepAlive.Running = append(out.KeepAlive.Running, []any{x.task, float64(x.run), "", float64(min(99, 100*x.did/max(x.need, 1)))})
	}
	for _, e := range r.ended {
		r.h.add(Fact{Kind: "listed", Node: r.Node, Life: r.life, Task: e.Task, Run: e.Run, N: e.Sequence})
		out.KeepAlive.Ended = append(out.KeepAlive.Ended, []any{float64(e.Sequence), e.Task, float64(e.Run), e.Result, e.Checkpoint})
	}
	return out
}

// beat is the runner's account of itself.
func (r *Runner) beat() (string, protocol.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick()
	r.seq++
	b := protocol.Heartbeat{Service: r.Service, Address: "x:1", Zone: r.Zone, State: "ready", FreeResources: r.Room, Labels: r.Labels, ClockMs: r.clock(), Sequence: r.seq}
	if r.Drain {
		b.State = "draining"
		left := int64(5000)
		b.LeavesInMs = &left
	}
	return r.life, b
}
