package order

import (
	"context"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

// runState is how far a run is, as this daemon sees it.
type runState byte

const (
	wanted   = runState(iota) // ordered, not yet sent
	starting                  // a start is under way
	started                   // an answer or a list says that it is there
	stopping                  // a stop is to be sent or under way
	stopped                   // a stop was answered
	refused                   // it surely never ran here
)

// run is one run of a task that was ordered, or that the runner lists.
type run struct {
	order        member.Order
	state        runState
	busy         bool // a call is under way
	attempts     int  // calls so far
	sickAnswers  int  // times the runner was sick
	notBefore    time.Time
	stopAsked    bool
	asked        uint64 // number of the last look begun when its call came back
	unsure       bool   // that call brought no answer: the lists are read first
	unanswered   int    // starts without an answer: they may still be carried out
	missed       int
	percent      int
	firstPercent int // when first seen
	seen         bool
	percentAt    time.Time // when percent last changed
	begun        time.Time
	saved        string
	verdict      string // the end that this daemon told of it; it holds for good
	told         bool   // the verdict is on its way to the leader
}

// onOrder takes an order of the leader, if it is one of this fence.
func (s *Side) onOrder(o member.Order) {
	session := s.cur
	if session == nil || session.id != o.Worker || session.fence != o.Fence {
		return
	}
	k := key(o.Task, o.Run)
	if e := session.ended[k]; e != nil {
		// Why never started: the runner would turn it away, and that refusal
		// could close the booking before the end does: a done task would run
		// twice.
		s.tellAgain(session, e)
		return
	}
	r := session.runs[k]
	if r == nil {
		r = &run{order: o}
		session.runs[k] = r
	}
	what := "start received"
	if o.Stop {
		r.stopAsked, what = true, "stop received"
	}
	s.trace.Record(o.Task, what, int64(o.Run), "")
}

// move brings one run further; it returns when to look at it again.
func (s *Side) move(session *runnerSession, k string, r *run) time.Duration {
	if r.busy || r.verdict != "" && r.state != stopping {
		return 0
	}
	if left := r.notBefore.Sub(s.now); left > 0 {
		return left
	}
	if r.unsure && session.looked <= r.asked {
		// Why first: it may be there, or over; the next look tells.
		return 0
	}
	if f := moves[r.state]; f != nil {
		return f(s, session, r)
	}
	return 0
}

var moves = map[runState]func(*Side, *runnerSession, *run) time.Duration{
	wanted:   (*Side).moveWanted,
	starting: (*Side).moveWanted,
	started:  (*Side).moveStarted,
	stopping: (*Side).sendStop,
	refused:  (*Side).moveRefused,
}

// moveWanted starts a run, or starts it again, after the pre-order check.
func (s *Side) moveWanted(session *runnerSession, r *run) time.Duration {
	if r.stopAsked {
		if r.attempts == 0 {
			s.tell(session, r, "refused")
			return 0
		}
		r.state = stopping
		return s.sendStop(session, r)
	}
	// The pre-order check: eligibility, grant and lists as of now.
	if session.drain || s.leaves(session) {
		if r.attempts == 0 {
			s.tell(session, r, "refused")
			return 0
		}
		r.state = refused
		return s.moveRefused(session, r)
	}
	// Sent again, if the first was left without an answer, under the same
	// conditions: an order of this fence, not stopped, within the grant.
	now := s.clockNow(session)
	if session.until < now+300 {
		return 50 * time.Millisecond
	}
	if s.calling >= tune.OrderHands {
		return 0
	}
	until := min(session.until, now+tune.HoldReach.Milliseconds())
	session.sent = max(session.sent, until)
	r.state = starting
	r.attempts++
	body := wire.Start{TaskID: r.order.Task, RunID: r.order.Run, JobSpec: r.order.Spec, UntilMs: until,
		FenceNumber: session.fence, LastCheckpoint: r.order.Saved}
	s.send(session, r, pathStart, body, s.onStart)
	return 0
}

// send makes one call about a run.
func (s *Side) send(session *runnerSession, r *run, path string, body any, then func(*runnerSession, *run, Reply)) {
	r.busy = true
	s.calling++
	fence := session.fence
	go func() {
		x, stop := context.WithTimeout(s.ctx, tune.OrderRound)
		p := s.call.Call(x, session.id, path, body)
		stop()
		s.later(func() {
			r.busy = false
			s.calling--
			s.heard(session, p)
			if s.cur != session || session.fence != fence {
				return
			}
			s.readClock(session, p.Clock.ClockMs)
			r.asked = session.holdNo
			r.unsure = p.Code == 0 && !calls[path].Repeatable
			if p.Code == 421 {
				// Why nothing told: the new life's beat ends the old one.
				r.notBefore = s.now.Add(500 * time.Millisecond)
				return
			}
			then(session, r, p)
		})
	}()
}

// onStart takes the answer to a start.
func (s *Side) onStart(session *runnerSession, r *run, p Reply) {
	s.trace.Record(r.order.Task, "start answered", int64(p.Code), p.Clock.Reason)
	if p.unclear() {
		r.unanswered++
	}
	if r.state != starting {
		return
	}
	switch p.Code {
	case 200:
		r.state, r.missed = started, 0
		if r.begun.IsZero() {
			r.begun, r.percentAt = s.now, s.now
		}
	case 0:
		r.notBefore = s.now.Add(min(time.Duration(r.attempts)*10*time.Millisecond, 300*time.Millisecond))
	case 409:
		_ = s.log.Log("level", "info", "event", "start.refused", "task", r.order.Task, "run", r.order.Run, "reason", p.Clock.Reason)
		switch p.Clock.Reason {
		case "fence":
			s.takeUp(session)
		case "late":
			r.notBefore = s.now.Add(20 * time.Millisecond)
		case "old":
			// Why as started: it is there or was; the lists will tell.
			r.state = started
		default:
			r.state = refused
		}
	case 400:
		r.state = refused
	default:
		// 429 and 503 from a sick runner, or what the pages don't name.
		r.sickAnswers++
		r.notBefore = s.now.Add(time.Duration(r.sickAnswers) * 40 * time.Millisecond)
		if r.sickAnswers >= 3 {
			r.state = refused
		}
	}
}

// moveStarted stops a run that is to be stopped.
func (s *Side) moveStarted(session *runnerSession, r *run) time.Duration {
	if r.stopAsked {
		r.state = stopping
		return s.sendStop(session, r)
	}
	return 0
}

// moveRefused tells a refusal once no unanswered start can take effect.
func (s *Side) moveRefused(session *runnerSession, r *run) time.Duration {
	if r.unanswered == 0 {
		s.tell(session, r, "refused")
		return 0
	}
	r.state = stopping
	return s.sendStop(session, r)
}

// sendStop stops a run; it is over once a later look doesn't list it.
func (s *Side) sendStop(session *runnerSession, r *run) time.Duration {
	if s.calling >= tune.OrderHands {
		return 0
	}
	s.send(session, r, pathStop, wire.Stop{TaskID: r.order.Task, RunID: r.order.Run, FenceNumber: session.fence}, func(session *runnerSession, r *run, p Reply) {
		switch {
		case p.Code == 200:
			r.state = stopped
		case p.Code == 409 && p.Clock.Reason == "fence":
			s.takeUp(session)
		case p.Code == 409:
			r.state = stopped
		default:
			r.notBefore = s.now.Add(30 * time.Millisecond)
		}
	})
	return 0
}
