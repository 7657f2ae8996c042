package order

import (
	"context"
	"strconv"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/kernel"
	"tealpond/internal/member"
	"tealpond/internal/setting"
	"tealpond/internal/tracing"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

// Event is an input of the side daemon's loop.
type Event struct {
	beat  *beatIn
	off   *offIn
	order *member.Order
	renew bool
	f     func()
}

// beatIn is a heartbeat with the channel for its answer.
type beatIn struct {
	id   string
	beat wire.Beat
	done chan int
}

// offIn is a sign-off with the channel for its answer.
type offIn struct {
	id   string
	done chan int
}

// Side is the plug's state; only its loop touches it.
type Side struct {
	set     setting.Setting
	log     log.Logger
	me      string
	in      chan Event
	seek    *member.Seeker
	call    Caller
	lead    func(x context.Context, kind string, body any) member.Answer // asks the leader
	trace   *tracing.Ring
	cur     *runnerSession
	signOff map[string]time.Time // lives that signed off, and when they leave
	over    map[string]bool      // lives that are over for the state or the runner
	calling int
	known   uint64 // the newest state that an answer spoke of
	ctx     context.Context
	now     time.Time
}

// key names one run of a task.
func key(task string, n int) string { return task + "/" + strconv.Itoa(n) }

// newSide builds a side daemon that turns to the leader through a seeker.
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

// take handles one input of the loop.
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

// rest brings everything on that is due; it returns when to come back.
func (s *Side) rest(now time.Time) time.Duration {
	s.now = now
	session := s.cur
	if session == nil || session.over {
		return 0
	}
	if session.fence == 0 || session.taking {
		if !session.taking && now.Sub(session.renewAt) > tune.Renew {
			s.takeUp(session)
		}
		return tune.Renew
	}
	wake := tune.Renew
	if !session.renewing && (session.renewAt.IsZero() || now.Sub(session.renewAt) >= tune.Renew) {
		s.renew(session)
	} else if !session.renewing {
		wake = min(wake, max(tune.Renew-now.Sub(session.renewAt), time.Millisecond))
	}
	if session.fence == 0 {
		return wake
	}
	if d := s.look(session); d > 0 && d < wake {
		wake = d
	}
	if d := s.care(session); d > 0 && d < wake {
		wake = d
	}
	for _, r := range session.runs {
		if d := s.tellVerdict(session, r); d > 0 && d < wake {
			wake = d
		}
	}
	if session.listed && !s.dark(session) {
		for k, r := range session.runs {
			if d := s.move(session, k, r); d > 0 && d < wake {
				wake = d
			}
		}
	}
	return wake
}
