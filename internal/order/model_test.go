package order

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/kernel"
	"tealpond/internal/member"
	"tealpond/internal/store"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

var modelSeeds = flag.Int("model-seeds", 6, "how many seeds the model test plays")

// model is a state, two runners and their side daemons, with troubles by lot.
// A seed names the lot, but not in which order tasks of one moment run.
// Asks to the state and calls to the runners are lost before or after they take
// effect, come late, and come twice; runners and side daemons are ended.
type model struct {
	mu      sync.Mutex
	t       *testing.T
	rnd     *rand.Rand
	st      *store.Store
	away    bool // nobody answers asks
	granted map[string]time.Time
	workers []*modelWorker
	running map[string]string // by task, the life that runs it
	noted   map[string]bool   // tasks whose done end was taken note of
	starts  int
	faults  []string // what the side daemons logged as such
}

type modelWorker struct {
	m     *model
	node  string
	lives int
	seq   int64
	side  *Side
	stop  context.CancelFunc

	// The runner's present life.
	life    string
	born    time.Time
	slow    float64
	dark    bool
	fence   int64
	until   int64
	lapsed  time.Time
	seen    int64
	next    int64
	runs    map[string]modelRun // by task
	top     map[string]int
	ended   []wire.End
	endedAt map[int64]time.Time
}

type modelRun struct {
	run  int
	till time.Time
}

func (m *model) chance(p float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rnd.Float64() < p
}

func (m *model) between(a, b time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return a + time.Duration(m.rnd.Int63n(int64(b-a)))
}

func (m *model) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.workers {
		w.tick()
	}
	f()
}

func (m *model) run(kind string, c store.Cmd) store.Outcome {
	return m.st.Run(m.st.Applied+1, transport.Encode(store.Batch{Clock: time.Now().UnixMilli(), Cmds: []store.Raw{store.Encode(kind, c)}}))[0]
}

// apply is what the leader does with one ask.
func (m *model) apply(kind string, body any) (a member.Answer) {
	m.locked(func() {
		var o store.Outcome
		switch c := body.(type) {
		case *member.Renew:
			w := m.st.Workers[c.Worker]
			if o.Code = 409; w != nil && w.Fence == c.Fence && !w.Dead && !w.Lost {
				m.granted[c.Worker] = time.Now()
				o = store.Outcome{Code: 200, N: tune.Hold.Milliseconds()}
			}
		case *store.TakeUp:
			if o = m.run(kind, c); o.Code == 200 && m.granted[c.ID].IsZero() {
				m.granted[c.ID] = time.Now()
			}
		case *store.Ends:
			o = m.run(kind, c)
			if o.Code == 200 && o.Text != "" {
				m.faults = append(m.faults, o.Text)
			}
		case *store.Eligible:
			o = m.run(kind, c)
		}
		a = member.Answer{Code: o.Code, Text: o.Text, N: o.N}
	})
	return a
}

// lead carries an ask, again after a silence, as a seeker does.
func (m *model) lead(x context.Context, kind string, body any) member.Answer {
	for {
		wait := m.between(time.Millisecond, 30*time.Millisecond)
		var away bool
		m.locked(func() { away = m.away })
		switch {
		case away || m.chance(0.04): // lost, or held up for long
			if late := m.between(time.Second, 12*time.Second); m.chance(0.5) && !away {
				time.AfterFunc(late, func() { m.apply(kind, body) })
			}
			wait = tune.AskRound
		case m.chance(0.04): // done, but the answer is lost
			m.apply(kind, body)
			wait = tune.AskRound
		default:
			time.Sleep(wait)
			if x.Err() == nil {
				return m.apply(kind, body)
			}
		}
		select {
		case <-x.Done():
			return member.Answer{Code: member.Lost}
		case <-time.After(wait):
		}
	}
}

func (w *modelWorker) clock() int64 {
	return 1 + int64(float64(time.Since(w.born).Milliseconds())/w.slow)
}

func (w *modelWorker) tick() {
	if w.until > 0 && w.clock() > w.until {
		w.until, w.lapsed = 0, time.Now()
		for task := range w.runs {
			w.end(task, "lapsed")
		}
	}
	for task, r := range w.runs {
		if !time.Now().Before(r.till) {
			w.end(task, "done")
		}
	}
}

func (w *modelWorker) end(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	delete(w.m.running, task)
	w.top[task] = r.run
	w.next++
	w.ended = append(w.ended, wire.End{N: w.next, Task: task, Run: r.run, How: how})
	w.endedAt[w.next] = time.Now()
}

// bear begins a new life: what ran is gone.
func (w *modelWorker) bear() {
	for task := range w.runs {
		delete(w.m.running, task)
	}
	w.lives++
	w.life, w.born, w.slow = fmt.Sprintf("%s-%d", w.node, w.lives), time.Now(), 1+0.02*w.m.rnd.Float64()
	w.fence, w.until, w.seen, w.next, w.ended = 0, 0, 0, 0, nil
	w.runs, w.top, w.endedAt = map[string]modelRun{}, map[string]int{}, map[int64]time.Time{}
}

// Call is the runner's side of a call.
func (w *modelWorker) Call(x context.Context, life, path string, body any) Reply {
	dark := false
	w.m.locked(func() { dark = w.dark })
	if dark || w.m.chance(0.04) {
		if late := w.m.between(100*time.Millisecond, 8*time.Second); !dark && w.m.chance(0.7) {
			time.AfterFunc(late, func() { w.m.locked(func() { w.do(life, body) }) })
		}
		<-x.Done()
		return Reply{}
	}
	lost, till := w.m.chance(0.04), time.Now()
	if h, ok := body.(wire.Hold); ok {
		till = till.Add(time.Duration(h.WaitMs) * time.Millisecond)
	}
	for {
		var r Reply
		w.m.locked(func() { r = w.do(life, body) })
		if lost {
			<-x.Done()
			return Reply{}
		}
		if len(r.Lists.Ended) > 0 || r.Code != 200 || !time.Now().Before(till) {
			return r
		}
		select {
		case <-x.Done():
			return Reply{}
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (w *modelWorker) do(life string, body any) Reply {
	no := func(reason string) Reply {
		return Reply{Code: 409, Clock: wire.Clock{ClockMs: w.clock(), Reason: reason}}
	}
	if life != w.life {
		return Reply{Code: 421}
	}
	fence, ok := int64(0), Reply{Code: 200, Clock: wire.Clock{ClockMs: w.clock()}}
	switch b := body.(type) {
	case wire.Start:
		fence = b.FenceNumber
	case wire.Stop:
		fence = b.FenceNumber
	case wire.Hold:
		fence = b.FenceNumber
	}
	if fence < w.fence {
		return no("fence")
	}
	w.fence = fence
	switch b := body.(type) {
	case wire.Start:
		if b.UntilMs <= w.clock() {
			return no("late")
		}
		w.until = max(w.until, b.UntilMs)
		if r, there := w.runs[b.TaskID]; there && r.run == b.RunID {
			return ok
		}
		if len(w.runs) >= 6 {
			return no("room")
		}
		if b.RunID <= w.top[b.TaskID] {
			return no("old")
		}
		if other := w.m.running[b.TaskID]; other != "" {
			w.m.t.Errorf("TWICE: %s/%d starts on %s while it runs on %s", b.TaskID, b.RunID, w.life, other)
		}
		if w.m.noted[b.TaskID] {
			w.m.t.Errorf("TWICE: %s/%d starts on %s after it was done", b.TaskID, b.RunID, w.life)
		}
		w.m.starts++
		w.m.running[b.TaskID] = w.life
		w.runs[b.TaskID] = modelRun{b.RunID, time.Now().Add(time.Duration(30+w.m.rnd.Intn(400)) * time.Millisecond)}
	case wire.Stop:
		if r, there := w.runs[b.TaskID]; there && r.run == b.RunID {
			w.end(b.TaskID, "stopped")
		}
		w.top[b.TaskID] = max(w.top[b.TaskID], b.RunID)
	case wire.Hold:
		if b.UntilMs > w.clock() {
			w.until = max(w.until, b.UntilMs)
		}
		w.forget(b.LastSeen)
		ok.Lists.ClockMs = w.clock()
		for task, r := range w.runs {
			ok.Lists.Running = append(ok.Lists.Running, []any{task, float64(r.run), "", float64(time.Now().UnixMilli() % 97)})
		}
		for _, e := range w.ended {
			ok.Lists.Ended = append(ok.Lists.Ended, []any{float64(e.N), e.Task, float64(e.Run), e.How, ""})
		}
	}
	return ok
}

// forget takes note of ends up to a number.
func (w *modelWorker) forget(seen int64) {
	for len(w.ended) > 0 && w.ended[0].N <= seen {
		e := w.ended[0]
		if e.How == "done" && !w.lapsed.After(w.endedAt[e.N]) {
			w.m.noted[e.Task] = true
		}
		w.ended = w.ended[1:]
	}
	w.seen = max(w.seen, seen)
	if x := w.m.st.Workers[w.life]; x != nil && w.seen > x.Seen {
		w.m.t.Errorf("%s was told to forget ends up to %d, the state holds %d", w.life, w.seen, x.Seen)
	}
}

// begin starts a side daemon on the worker's machine.
func (w *modelWorker) begin(ctx context.Context) {
	x, stop := context.WithCancel(ctx)
	s := &Side{log: log.NewNopLogger(), me: fmt.Sprint(time.Now().UnixNano()), in: make(chan Event, 1024), call: w, lead: w.m.lead, trace: tracing.NewRing(16), ctx: x}
	s.set.NodeName = w.node
	w.side, w.stop = s, stop
	go kernel.Loop(x, s.in, s.take, s.rest)
}

// tell gives an event to the present side daemon.
func (w *modelWorker) tell(e Event) {
	select {
	case w.side.in <- e:
	default:
	}
}

// step is the leader's and the machines' part, every 20 ms.
func (m *model) step(tasks int, n int) {
	m.locked(func() {
		for _, w := range m.workers {
			if n%10 == 0 && !w.dark {
				w.seq++
				w.tell(Event{beat: &beatIn{id: w.life, done: make(chan int, 1), beat: wire.Beat{TargetService: "s", State: "ready",
					FreeRoom: wire.Room{CPUUnits: 8000, MemMb: 8000}, ClockMs: w.clock(), CallSeq: w.seq}}})
			}
		}
		if m.away {
			return
		}
		hold := time.Duration(float64(tune.Hold)*tune.HoldDrift) + tune.HoldMargin
		for id, at := range m.granted {
			if time.Since(at) > hold {
				delete(m.granted, id)
				m.run("lapse", &store.Lapse{Workers: []store.Fenced{{ID: id, Fence: m.st.Workers[id].Fence}}})
			}
		}
		var items []store.Item
		for i := range tasks {
			if w := m.st.Workers[m.workers[m.rnd.Intn(2)].life]; w != nil && m.rnd.Intn(4) == 0 {
				items = append(items, store.Item{Index: i, Worker: w.ID, Ver: w.Ver})
			}
		}
		m.run("book", &store.Book{Plans: []store.Plan{{Job: "j", Items: items}}})
		fresh := map[uint64]bool{}
		for _, id := range m.st.Fresh() {
			fresh[id] = true
		}
		for _, w := range m.workers {
			for _, a := range m.st.On(w.life) {
				// Every second all is told anew, as to a new stream.
				if n%50 == 0 || fresh[a.ID] && m.rnd.Intn(10) > 0 {
					w.tell(Event{order: &member.Order{Worker: w.life, Fence: m.st.Workers[w.life].Fence, Stop: a.Stopping, Task: a.Task(), Run: a.Run, EstMs: 200}})
				}
			}
		}
	})
}

// TestNoTaskRunsTwice plays the model: whatever is lost, late or doubled, no
// task runs twice, none is started after its end was taken note of, no runner
// forgets what the state doesn't hold, and all tasks end.
func TestNoTaskRunsTwice(t *testing.T) {
	const tasks = 300
	for seed := range *modelSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				m := &model{t: t, rnd: rand.New(rand.NewSource(int64(seed))), st: store.New(store.Limits{KeepJobMs: 1e9, Replans: 2}),
					granted: map[string]time.Time{}, running: map[string]string{}, noted: map[string]bool{}}
				m.run("replace", &store.Replace{Raw: []byte(testDesire)})
				m.run("handin", &store.HandIn{Host: "h", Path: "/p/j", ID: "j", Job: wire.Job{Steps: []wire.Step{{TaskCount: tasks, CPUUnits: 1000, EstimateMs: 200}}}})
				for _, node := range []string{"a", "b"} {
					w := &modelWorker{m: m, node: node}
					m.workers = append(m.workers, w)
					w.bear()
					w.begin(ctx)
				}
				over := false
				for n := 0; n < 15000 && !over; n++ {
					time.Sleep(20 * time.Millisecond)
					m.step(tasks, n)
					m.locked(func() {
						w := m.workers[m.rnd.Intn(2)]
						switch m.rnd.Intn(400) {
						case 0:
							w.bear()
						case 1, 2, 3:
							w.stop()
							w.begin(ctx)
						case 4, 5:
							w.dark = true
							time.AfterFunc(time.Duration(200+m.rnd.Intn(5000))*time.Millisecond, func() { m.locked(func() { w.dark = false }) })
						case 6, 7:
							m.away = true
							time.AfterFunc(time.Duration(200+m.rnd.Intn(8000))*time.Millisecond, func() { m.locked(func() { m.away = false }) })
						}
						word, _ := m.st.Status("j")
						over = word == "done"
					})
				}
				if !over {
					t.Errorf("the job is not done; %d starts, %d bookings", m.starts, len(m.st.Allocs))
				}
				for _, f := range m.faults {
					t.Errorf("fault: %s", f)
				}
				t.Logf("%d tasks, %d starts", tasks, m.starts)
				stop()
				time.Sleep(time.Minute)
			})
		})
	}
}
