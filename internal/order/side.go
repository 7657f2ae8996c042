package order

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/kernel"
	"tealpond/internal/member"
	"tealpond/internal/setting"
	"tealpond/internal/store"
	"tealpond/internal/trace"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

// states of a run as this daemon sees it.
type state byte

const (
	wanted   = state(iota) // ordered, not yet sent
	starting               // a start is under way
	started                // an answer or a list says that it is there
	stopping               // a stop is to be sent or under way
	stopped                // a stop was answered
	refused                // it surely never ran here
)

type run struct {
	order  member.Order
	st     state
	busy   bool  // a call is under way
	rounds int   // calls so far
	sick   int   // times the runner was sick
	open   int64 // an unanswered start may take effect until then
	after  time.Time
	stopIt bool
	asked  uint64 // number of the last look begun when its call was answered
	missed int
	pct    int
	pct0   int // when first seen
	seen   bool
	pctAt  time.Time // when pct last changed
	begun  time.Time
	saved  string
	told   bool // its end or refusal is on its way to the leader
}

// sample is how long a run took, in hundredths of its estimate.
type sample struct {
	ratio int64
	at    time.Time
}

// life is what is known of the runner's present life.
type life struct {
	id       string
	beat     wire.Beat
	seq      int64
	fence    int64
	taking   bool
	drain    bool // committed
	clock    int64
	clockAt  time.Time
	until    int64 // granted, on the runner's clock
	untilOut int64 // sent to it and answered
	sent     int64 // the furthest that was ever sent, answered or not
	silent   int   // calls in a row without an answer
	heardAt  time.Time
	sick     bool      // what the leader was told
	sickTold bool      // an ask about it is under way
	stuckAt  time.Time // when a run was last seen to stand still
	samples  []sample
	seen     int64 // ends up to here are committed: the leader said so
	got      int64 // ends up to here were read and are on their way
	listed   bool  // lists were read under this fence
	holding  bool
	holdNo   uint64
	holdFail int
	holdAt   time.Time
	renewing bool
	renewAt  time.Time
	telling  int // asks with ends under way
	runs     map[string]*run
	ended    map[string]*endedRun
	waiting  []beatWait
	over     bool
}

// endedRun is a run that is over here: its end as listed, or, with N = 0, as
// this daemon told it.
type endedRun struct {
	end     wire.End
	at      time.Time
	telling bool // it is being told again
}

type beatWait struct {
	drain bool
	done  chan int
}

// Event is an input of the side daemon's loop.
type Event struct {
	beat  *beatIn
	off   *offIn
	order *member.Order
	renew bool
	f     func()
}

type beatIn struct {
	id   string
	beat wire.Beat
	done chan int
}

type offIn struct {
	id   string
	done chan int
}

// Side is the plug's state; only its loop touches it.
type Side struct {
	set   setting.Setting
	log   log.Logger
	me    string
	in    chan Event
	seek  *member.Seeker
	call  Caller
	lead  func(x context.Context, kind string, body any) member.Answer // asks the leader
	trace *trace.Ring
	cur   *life
	hands int
	known uint64 // the newest state that an answer spoke of
	ctx   context.Context
	now   time.Time
}

func key(task string, n int) string { return task + "/" + strconv.Itoa(n) }

func newSide(b kernel.Base, call Caller) *Side {
	s := &Side{set: b.Setting, log: b.Log, me: b.Life, in: make(chan Event, 1024), call: call, trace: b.Trace}
	s.seek = member.NewSeeker(b.Log, "", b.Setting.Seeds(),
		func(o member.Order) { s.in <- Event{order: &o} }, nil, func() {
			go func() { s.in <- Event{renew: true} }()
		})
	s.seek.Homing()
	s.lead = s.seek.Ask
	return s
}

// later runs f in the loop; f tells what came of a call.
func (s *Side) later(f func()) {
	select {
	case s.in <- Event{f: f}:
	case <-s.ctx.Done():
	}
}

func (s *Side) take(e Event) {
	s.now = time.Now()
	switch {
	case e.beat != nil:
		s.onBeat(e.beat)
	case e.off != nil:
		s.onOff(e.off)
	case e.order != nil:
		s.onOrder(*e.order)
	case e.renew:
		if s.cur != nil {
			s.cur.renewAt = time.Time{}
		}
	case e.f != nil:
		e.f()
	}
}

func (s *Side) onBeat(b *beatIn) {
	l := s.cur
	if l == nil || l.id != b.id {
		if l != nil && l.over && l.id == b.id {
			b.done <- 200
			return
		}
		_ = s.log.Log("level", "info", "event", "runner.new", "runner", b.id)
		l = &life{id: b.id, beat: b.beat, seq: b.beat.CallSeq, runs: map[string]*run{}}
		s.cur = l
		s.readClock(l, b.beat.ClockMs)
		l.waiting = append(l.waiting, beatWait{b.beat.State == "draining", b.done})
		s.takeUp(l)
		return
	}
	if b.beat.CallSeq < l.seq {
		// Why still 200: it was heard, only later than a newer one.
		b.done <- 200
		return
	}
	l.seq = b.beat.CallSeq
	drain := b.beat.State == "draining"
	l.beat = b.beat
	s.readClock(l, b.beat.ClockMs)
	if l.fence == 0 || l.taking {
		l.waiting = append(l.waiting, beatWait{drain, b.done})
		return
	}
	if drain && !l.drain {
		s.drain(l, b.done)
		return
	}
	b.done <- 200
}

func (s *Side) leavesIn(l *life) int64 {
	if l.beat.LeavesAtMs == nil {
		return -1
	}
	return *l.beat.LeavesAtMs
}

// ask carries an ask to the leader and brings the answer into the loop.
func (s *Side) ask(kind string, body any, limit time.Duration, then func(member.Answer)) {
	go func() {
		x, stop := context.WithTimeout(s.ctx, limit)
		defer stop()
		a := s.lead(x, kind, body)
		s.later(func() {
			s.known = max(s.known, a.At)
			then(a)
		})
	}()
}

func (s *Side) takeUp(l *life) {
	if l.taking || l.over {
		return
	}
	l.taking = true
	b := l.beat
	s.ask(member.AskTakeUp, &store.TakeUp{ID: l.id, Node: s.set.NodeName, Life: s.me, Service: b.TargetService, Zone: b.Zone,
		Labels: b.Labels, Room: b.FreeRoom, Draining: b.State == "draining", LeavesIn: s.leavesIn(l)}, 10*time.Second, func(a member.Answer) {
		if s.cur != l {
			return
		}
		l.taking = false
		if a.Code == 409 {
			l.over = true
		}
		if a.Code != 200 {
			s.waiters(l, 503)
			l.renewAt = s.now
			return
		}
		l.fence, l.listed, l.drain = a.N, false, b.State == "draining"
		// Why told anew: what is under way under the old fence may be refused.
		l.got, l.telling = l.seen, 0
		l.sick, l.silent, l.heardAt = false, 0, s.now
		// Why so far: a daemon that ordered this runner before us may have
		// held it up to there.
		l.sent = max(l.sent, s.clockNow(l)+tune.HoldReach.Milliseconds())
		l.renewAt = time.Time{}
		l.until = 0
		l.holdFail = 0
		// Why forgotten: the leader says anew what is to run, and what does
		// run is read from the lists under the new fence.
		l.runs = map[string]*run{}
		s.waiters(l, 200)
	})
}

func (s *Side) waiters(l *life, code int) {
	for _, w := range l.waiting {
		if code == 200 && w.drain && !l.drain {
			s.drain(l, w.done)
			continue
		}
		w.done <- code
	}
	l.waiting = nil
}

func (s *Side) drain(l *life, done chan int) {
	_ = s.log.Log("level", "info", "event", "runner.drains", "runner", l.id, "leaves_in_ms", s.leavesIn(l), "clock_ms", l.beat.ClockMs)
	s.ask(member.AskElig, &store.Eligible{ID: l.id, Draining: true, LeavesIn: s.leavesIn(l)}, 950*time.Millisecond, func(a member.Answer) {
		if a.Code == 200 {
			l.drain = true
			done <- 200
			return
		}
		done <- 503
	})
}

func (s *Side) onOff(o *offIn) {
	l := s.cur
	if l == nil || l.id != o.id {
		o.done <- 200
		return
	}
	s.ask(member.AskElig, &store.Eligible{ID: o.id, Draining: true, LeavesIn: 0, Gone: true}, 950*time.Millisecond, func(a member.Answer) {
		l.drain = true
		if a.Code == 200 || a.Code == 410 {
			o.done <- 200
			return
		}
		o.done <- 503
	})
}

func (s *Side) readClock(l *life, ms int64) {
	if ms > 0 && ms >= l.clock {
		l.clock, l.clockAt = ms, s.now
	}
}

// heard counts calls in a row that the runner left without an answer.
func (s *Side) heard(l *life, r Reply) {
	if r.Code == 0 {
		l.silent++
		return
	}
	l.silent, l.heardAt = 0, s.now
}

// dark tells whether the runner has fallen silent.
func (s *Side) dark(l *life) bool {
	return l.silent >= 2 && s.now.Sub(l.heardAt) > tune.Dark
}

// over tells whether all that was ever held at the silent runner has lapsed:
// its clock may run slow, and never shows less than this.
func (s *Side) lapsed(l *life) bool {
	least := l.clock + int64(float64(s.now.Sub(l.clockAt).Milliseconds())/tune.HoldDrift)
	return l.clock > 0 && least > l.sent+tune.LapseMargin.Milliseconds()
}

// care tells the leader when the runner is sick or well again, and closes
// what a silent runner can no longer be running.
func (s *Side) care(l *life) time.Duration {
	dark := s.dark(l)
	sick := dark || s.now.Sub(l.stuckAt) < tune.StuckPause
	if sick != l.sick && !l.sickTold {
		l.sickTold = true
		_ = s.log.Log("level", "warn", "event", "runner.sick", "runner", l.id, "sick", sick, "dark", dark)
		s.ask(member.AskElig, &store.Eligible{ID: l.id, Draining: l.drain, LeavesIn: s.leavesIn(l), Sick: sick}, time.Second, func(a member.Answer) {
			l.sickTold = false
			if a.Code == 200 {
				l.sick = sick
			}
		})
	}
	if !dark {
		if l.sick {
			return 100 * time.Millisecond
		}
		return 0
	}
	gone := s.lapsed(l)
	for _, r := range l.runs {
		if r.told || r.busy && !gone {
			continue
		}
		switch {
		case r.rounds == 0 && r.st == wanted:
			s.tell(l, r, "refused")
		case gone:
			s.tell(l, r, "lapsed")
		}
	}
	return 50 * time.Millisecond
}

// clockNow is the runner's clock, estimated from the newest reading.
func (s *Side) clockNow(l *life) int64 {
	return l.clock + s.now.Sub(l.clockAt).Milliseconds()
}

func (s *Side) onOrder(o member.Order) {
	l := s.cur
	if l == nil || l.id != o.Worker || l.fence != o.Fence {
		return
	}
	k := key(o.Task, o.Run)
	if e := l.ended[k]; e != nil {
		// Why never started: the runner would turn it away, and that refusal
		// could close the booking before the end does: a done task would run
		// twice.
		s.tellAgain(l, e)
		return
	}
	r := l.runs[k]
	if r == nil {
		r = &run{order: o}
		l.runs[k] = r
	}
	what := "start received"
	if o.Stop {
		r.stopIt, what = true, "stop received"
	}
	s.trace.Add(o.Task, what, int64(o.Run), "")
}

func (s *Side) rest(now time.Time) time.Duration {
	s.now = now
	l := s.cur
	if l == nil || l.over {
		return 0
	}
	if l.fence == 0 || l.taking {
		if !l.taking && now.Sub(l.renewAt) > tune.Renew {
			s.takeUp(l)
		}
		return tune.Renew
	}
	wake := tune.Renew
	if !l.renewing && (l.renewAt.IsZero() || now.Sub(l.renewAt) >= tune.Renew) {
		s.renew(l)
	} else if !l.renewing {
		wake = min(wake, max(tune.Renew-now.Sub(l.renewAt), time.Millisecond))
	}
	if l.fence == 0 {
		return wake
	}
	if d := s.look(l); d > 0 && d < wake {
		wake = d
	}
	if d := s.care(l); d > 0 && d < wake {
		wake = d
	}
	if l.listed && !s.dark(l) {
		for k, r := range l.runs {
			if d := s.move(l, k, r); d > 0 && d < wake {
				wake = d
			}
		}
	}
	return wake
}

func (s *Side) renew(l *life) {
	l.renewing, l.renewAt = true, s.now
	// Why read before the ask: the grant counts from when it was asked for.
	from, fence := s.clockNow(l), l.fence
	if l.clock == 0 {
		from = 0
	}
	s.ask(member.AskRenew, &member.Renew{Worker: l.id, Fence: l.fence, Ratio: s.ratio(l), Known: s.known}, 3*time.Second, func(a member.Answer) {
		l.renewing = false
		if s.cur != l || l.fence != fence {
			return
		}
		switch a.Code {
		case 200:
			if from > 0 && from+a.N > l.until {
				l.until = from + a.N
			}
		case 409:
			s.takeUp(l)
		case 410:
			l.over = true
		}
	})
}

// look holds what runs and reads the lists.
func (s *Side) look(l *life) time.Duration {
	if l.holding {
		return 0
	}
	if l.holdFail > 0 {
		if left := min(time.Duration(l.holdFail)*50*time.Millisecond, 500*time.Millisecond) - s.now.Sub(l.holdAt); left > 0 {
			return left
		}
	}
	wait := tune.HoldWait
	if l.telling > 0 {
		// Why not while ends are unacknowledged: the look would return at
		// once with the same ends; only a newer grant is worth it.
		gain := min(l.until, s.clockNow(l)+tune.HoldReach.Milliseconds()) - l.untilOut
		if left := tune.HoldReach.Milliseconds()/2 - gain; left > 0 {
			return max(time.Duration(left)*time.Millisecond, 50*time.Millisecond)
		}
		wait = 0
	}
	if len(l.runs) == 0 {
		wait = tune.HoldQuiet
	}
	if !l.listed || l.until > 0 && l.untilOut == 0 {
		wait = 0
	}
	for _, r := range l.runs {
		if r.st == stopped {
			wait = min(wait, 100*time.Millisecond)
		}
		if late := s.now.Sub(r.begun).Milliseconds() > 3*r.order.EstMs/2+100; r.st == started && late && !r.order.Lasts {
			// Why sooner: it may stand still, and nothing would end the wait.
			wait = min(wait, tune.HoldLate)
		}
	}
	if l.silent > 0 {
		// Why a short look that holds nothing: each hold sent to a runner that
		// may be gone would put off the moment when its work is surely over.
		wait = 0
	}
	h := wire.Hold{FenceNumber: l.fence, LastSeen: l.seen, WaitMs: wait.Milliseconds()}
	// Why short: when the runner falls silent, all that it held is over so
	// much sooner, and a grant is there to prolong it.
	if u := min(l.until, s.clockNow(l)+tune.HoldReach.Milliseconds()); l.clock > 0 && u > l.untilOut && l.silent == 0 {
		h.UntilMs = u
		l.sent = max(l.sent, u)
	}
	l.holding, l.holdAt = true, s.now
	l.holdNo++
	no, fence := l.holdNo, l.fence
	go func() {
		x, stop := context.WithTimeout(s.ctx, wait+tune.HoldSlack)
		r := s.call.Call(x, l.id, "/-/hold", h)
		stop()
		s.later(func() {
			l.holding = false
			s.heard(l, r)
			if s.cur != l || l.fence != fence {
				return
			}
			s.onLists(l, h, no, r)
		})
	}()
	return 0
}

func (s *Side) onLists(l *life, h wire.Hold, no uint64, r Reply) {
	if r.Code != 200 {
		l.holdFail++
		if r.Code == 409 && r.Clock.Reason == "fence" {
			s.takeUp(l)
		}
		return
	}
	l.holdFail = 0
	s.readClock(l, r.Clock.ClockMs)
	if h.UntilMs > l.untilOut {
		l.untilOut = h.UntilMs
	}
	there := map[string]wire.Run{}
	for _, v := range r.Lists.Runs() {
		there[key(v.Task, v.Run)] = v
	}
	ends := r.Lists.Ends()
	var fresh []wire.End
	over := map[string]bool{}
	for _, e := range ends {
		over[key(e.Task, e.Run)] = true
		l.remember(e, s.now)
		if e.N > l.got {
			l.got = e.N
			fresh = append(fresh, e)
			s.trace.Add(e.Task, "end listed", int64(e.Run), e.How)
			if q := l.runs[key(e.Task, e.Run)]; q != nil && e.How == "done" && !q.begun.IsZero() && q.order.EstMs > 0 && q.order.Saved == "" {
				l.samples = append(l.samples, sample{s.now.Sub(q.begun).Milliseconds() * 100 / q.order.EstMs, s.now})
			}
		}
	}
	var saved []wire.Run
	for k, v := range there {
		q := l.runs[k]
		if q == nil {
			// Why kept: the leader will name it, and must not start it twice.
			q = &run{order: member.Order{Task: v.Task, Run: v.Run}}
			l.runs[k] = q
		}
		if q.st == wanted || q.st == starting {
			q.st = started
		}
		q.missed = 0
		s.progress(l, q, v)
		if v.Saved != q.saved {
			q.saved = v.Saved
			saved = append(saved, v)
		}
	}
	first := !l.listed
	l.listed = true
	for k, q := range l.runs {
		if _, ok := there[k]; ok {
			continue
		}
		if over[k] {
			delete(l.runs, k)
			continue
		}
		if q.told {
			continue
		}
		// Why only looks begun after the answer: an older one can't know it.
		if (q.st == started || q.st == stopped) && no > q.asked && len(ends) < 500 {
			q.missed++
			if q.missed >= 2 || q.st == stopped {
				s.tell(l, q, "stopped")
			}
		}
	}
	if len(fresh) > 0 || len(saved) > 0 {
		s.tellEnds(l, fresh, len(fresh) > 0 && fresh[0].N == ends[0].N, saved)
	}
	if first {
		_ = s.log.Log("level", "info", "event", "runner.listed", "runner", l.id, "fence", l.fence, "running", len(there), "ended", len(ends))
	}
}

// ratio is the middle of how long runs took lately against their estimates.
func (s *Side) ratio(l *life) int64 {
	keep := l.samples[:0]
	for _, m := range l.samples {
		if s.now.Sub(m.at) < tune.SpeedSpan {
			keep = append(keep, m)
		}
	}
	l.samples = keep
	var all []int64
	for _, m := range keep {
		all = append(all, m.ratio)
	}
	for _, r := range l.runs {
		// Why also what still runs: on a slow worker little ends.
		if r.st != started || r.begun.IsZero() || r.order.EstMs <= 0 {
			continue
		}
		took := s.now.Sub(r.begun).Milliseconds()
		if r.order.Saved != "" {
			continue
		}
		if r.pct >= 5 {
			all = append(all, r.pctAt.Sub(r.begun).Milliseconds()*100/int64(r.pct)*100/r.order.EstMs)
		} else if took > 2*r.order.EstMs {
			all = append(all, took*100/r.order.EstMs)
		}
	}
	if len(all) < 3 {
		return 0
	}
	sort.Slice(all, func(a, b int) bool { return all[a] < all[b] })
	return max(all[len(all)/2], 1)
}

// progress notes how far a run is, and stops one that stands still.
func (s *Side) progress(l *life, q *run, v wire.Run) {
	if q.begun.IsZero() {
		q.begun, q.pctAt = s.now, s.now
	}
	if !q.seen {
		// Why kept: a run that resumes begins in its middle.
		q.seen, q.pct, q.pct0 = true, v.Percent, v.Percent
		q.pctAt = s.now
		return
	}
	if v.Percent != q.pct {
		q.pct, q.pctAt = v.Percent, s.now
		return
	}
	still := s.now.Sub(q.pctAt)
	// Why by its own pace: a slow worker's long task moves a point rarely.
	pace := q.pctAt.Sub(q.begun) / time.Duration(max(q.pct-q.pct0, 1))
	if q.pct == q.pct0 {
		pace = time.Duration(q.order.EstMs) * time.Millisecond / 100
	}
	least := tune.StuckAfter
	if q.order.Saved != "" {
		// Why more: it makes no progress while it reads its saved text.
		least += 2 * time.Duration(s.set.Bounds.RestoreMs) * time.Millisecond
	}
	if still < least || still < 8*pace || q.order.Lasts || q.stopIt || q.order.Worker == "" {
		return
	}
	_ = s.log.Log("level", "warn", "event", "run.stuck", "task", v.Task, "run", v.Run, "percent", v.Percent, "still_ms", still.Milliseconds())
	q.stopIt = true
	l.stuckAt = s.now
}

// tellEnds has ends committed before they are acknowledged to the runner;
// first tells that they begin the runner's list.
func (s *Side) tellEnds(l *life, ends []wire.End, first bool, saved []wire.Run) {
	fence, seen := l.fence, l.seen
	if len(ends) > 0 {
		l.telling++
	}
	s.ask(member.AskEnds, &store.Ends{Worker: l.id, Fence: fence, Ends: ends, First: first, Saved: saved}, 20*time.Second, func(a member.Answer) {
		if s.cur != l {
			return
		}
		if a.Code == 200 {
			s.committed(l, a, seen, fence)
		}
		if fence != l.fence {
			return
		}
		if len(ends) > 0 {
			l.telling--
		}
		if a.Code == 409 {
			s.takeUp(l)
		}
		if a.Code == 200 && len(ends) > 0 && a.N < ends[len(ends)-1].N {
			// Why at once: an earlier end was lost on its way, and jobs wait.
			if again := l.unacknowledged(); len(again) > 0 && again[0].N == l.seen+1 {
				s.tellEnds(l, again, false, nil)
			}
		}
		if l.telling == 0 {
			// Why read again: what is on its way no more, and not committed,
			// is still in the runner's list.
			l.got = l.seen
		}
	})
}

// committed takes note of the prefix of ends that the state holds: never the
// top of what was told, since what was told before may be lost.
func (s *Side) committed(l *life, a member.Answer, seenBefore, fence int64) {
	if a.Text != "" {
		_ = s.log.Log("level", "error", "event", "ends.fault", "runner", l.id, "fence", fence, "why", a.Text)
	}
	if a.N < seenBefore {
		_ = s.log.Log("level", "error", "event", "ends.fault", "runner", l.id, "fence", fence,
			"why", "the state holds fewer ends than it said before", "held", a.N, "acknowledged", seenBefore)
	}
	if a.N <= l.seen {
		return
	}
	for _, e := range l.ended {
		if e.end.N > l.seen && e.end.N <= a.N {
			s.trace.Add(e.end.Task, "end acknowledged", e.end.N, "")
		}
	}
	l.seen = a.N
}

// unacknowledged are the ends that were read and aren't known to be committed.
func (l *life) unacknowledged() []wire.End {
	var out []wire.End
	for _, e := range l.ended {
		if e.end.N > l.seen {
			out = append(out, e.end)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].N < out[b].N })
	return out
}

// tellAgain answers an order of a run that is over: an order says that the
// state holds it as open. Mostly the two only crossed; if not, it closes it.
func (s *Side) tellAgain(l *life, e *endedRun) {
	if e.end.N > l.seen || e.telling {
		// Why not: it is on its way, or will be once it is listed again.
		return
	}
	e.telling = true
	fence, seen := l.fence, l.seen
	s.ask(member.AskEnds, &store.Ends{Worker: l.id, Fence: fence, Ends: []wire.End{e.end}}, 20*time.Second, func(a member.Answer) {
		e.telling = false
		if s.cur != l {
			return
		}
		switch {
		case a.Code == 200:
			s.committed(l, a, seen, fence)
		case fence != l.fence:
			// Why no more: under a new fence all is ordered anew.
		case a.Code == 409:
			s.takeUp(l)
		case a.Code != 410:
			s.tellAgain(l, e)
		}
	})
}

// remember notes that a run is over; old ones are forgotten once the state
// holds their ends: it then orders them no more.
func (l *life) remember(end wire.End, now time.Time) {
	if l.ended == nil {
		l.ended = map[string]*endedRun{}
	}
	k := key(end.Task, end.Run)
	if e := l.ended[k]; e != nil {
		if end.N > e.end.N {
			// Why the listed one: it says how the run ended.
			e.end = end
		}
		return
	}
	if len(l.ended) >= tune.EndedKept {
		for o, e := range l.ended {
			if now.Sub(e.at) > tune.EndedTime && e.end.N <= l.seen {
				delete(l.ended, o)
			}
		}
	}
	l.ended[k] = &endedRun{end: end, at: now}
}

// tell has a run closed that the lists will never name.
func (s *Side) tell(l *life, r *run, how string) {
	r.told = true
	end := wire.End{Task: r.order.Task, Run: r.order.Run, How: how}
	s.ask(member.AskEnds, &store.Ends{Worker: l.id, Fence: l.fence, Ends: []wire.End{end}}, 20*time.Second, func(a member.Answer) {
		if a.Code == 200 {
			l.remember(end, s.now)
			delete(l.runs, key(r.order.Task, r.order.Run))
			return
		}
		r.told = false
	})
}

// move brings one run further; it returns when to look at it again.
func (s *Side) move(l *life, k string, r *run) time.Duration {
	if r.busy || r.told {
		return 0
	}
	if left := r.after.Sub(s.now); left > 0 {
		return left
	}
	if f := moves[r.st]; f != nil {
		return f(s, l, r)
	}
	return 0
}

var moves = map[state]func(*Side, *life, *run) time.Duration{
	wanted:   (*Side).moveWanted,
	starting: (*Side).moveWanted,
	started:  (*Side).moveStarted,
	stopping: (*Side).sendStop,
	refused:  (*Side).moveRefused,
}

func (s *Side) moveWanted(l *life, r *run) time.Duration {
	if r.stopIt {
		if r.rounds == 0 {
			s.tell(l, r, "refused")
			return 0
		}
		r.st = stopping
		return s.sendStop(l, r)
	}
	// The pre-order check: eligibility, grant and lists as of now.
	if l.drain || l.beat.State == "draining" {
		if r.rounds == 0 {
			s.tell(l, r, "refused")
			return 0
		}
		r.st = refused
		return s.moveRefused(l, r)
	}
	now := s.clockNow(l)
	if l.until < now+300 {
		return 50 * time.Millisecond
	}
	if s.hands >= tune.OrderHands {
		return 0
	}
	until := min(l.until, now+tune.HoldReach.Milliseconds())
	l.sent = max(l.sent, until)
	r.open = max(r.open, until)
	r.st = starting
	r.rounds++
	body := wire.Start{TaskID: r.order.Task, RunID: r.order.Run, JobSpec: r.order.Spec, UntilMs: until,
		FenceNumber: l.fence, LastCheckpoint: r.order.Saved}
	s.send(l, r, "/-/run-start", body, s.onStart)
	return 0
}

// send makes one call about a run.
func (s *Side) send(l *life, r *run, path string, body any, then func(*life, *run, Reply)) {
	r.busy = true
	s.hands++
	fence := l.fence
	go func() {
		x, stop := context.WithTimeout(s.ctx, tune.OrderRound)
		p := s.call.Call(x, l.id, path, body)
		stop()
		s.later(func() {
			r.busy = false
			s.hands--
			s.heard(l, p)
			if s.cur != l || l.fence != fence {
				return
			}
			s.readClock(l, p.Clock.ClockMs)
			r.asked = l.holdNo
			if p.Code == 421 {
				// Why nothing told: the new life's beat ends the old one.
				r.after = s.now.Add(500 * time.Millisecond)
				return
			}
			then(l, r, p)
		})
	}()
}

func (s *Side) onStart(l *life, r *run, p Reply) {
	s.trace.Add(r.order.Task, "start answered", int64(p.Code), p.Clock.Reason)
	if r.st != starting {
		return
	}
	switch p.Code {
	case 200:
		r.st, r.missed = started, 0
		if r.begun.IsZero() {
			r.begun, r.pctAt = s.now, s.now
		}
	case 0:
		r.after = s.now.Add(min(time.Duration(r.rounds)*10*time.Millisecond, 300*time.Millisecond))
	case 409:
		_ = s.log.Log("level", "info", "event", "start.refused", "task", r.order.Task, "run", r.order.Run, "reason", p.Clock.Reason)
		switch p.Clock.Reason {
		case "fence":
			s.takeUp(l)
		case "late":
			r.after = s.now.Add(20 * time.Millisecond)
		case "old":
			// Why as started: it is there or was; the lists will tell.
			r.st = started
		default:
			r.st = refused
		}
	case 429, 503:
		r.sick++
		r.after = s.now.Add(time.Duration(r.sick) * 40 * time.Millisecond)
		if r.sick >= 3 {
			r.st = refused
		}
	default:
		r.st = refused
	}
}

func (s *Side) moveStarted(l *life, r *run) time.Duration {
	if r.stopIt {
		r.st = stopping
		return s.sendStop(l, r)
	}
	return 0
}

// moveRefused tells a refusal once no unanswered start can take effect.
func (s *Side) moveRefused(l *life, r *run) time.Duration {
	if r.rounds <= 1 && r.sick <= 1 {
		s.tell(l, r, "refused")
		return 0
	}
	r.st = stopping
	return s.sendStop(l, r)
}

func (s *Side) sendStop(l *life, r *run) time.Duration {
	if s.hands >= tune.OrderHands {
		return 0
	}
	s.send(l, r, "/-/run-stop", wire.Stop{TaskID: r.order.Task, RunID: r.order.Run, FenceNumber: l.fence}, func(l *life, r *run, p Reply) {
		switch {
		case p.Code == 200:
			r.st = stopped
		case p.Code == 409 && p.Clock.Reason == "fence":
			s.takeUp(l)
		case p.Code == 409:
			r.st = stopped
		default:
			r.after = s.now.Add(30 * time.Millisecond)
		}
	})
	return 0
}
