package order

import (
	"context"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/store"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

// runnerSession is what is known of the runner's present life.
type runnerSession struct {
	id       string
	beat     wire.Beat
	seq      int64
	fence    int64
	taking   bool
	replaces int64  // fence of the life before it on this machine
	before   string // the life before it that this daemon had taken up
	drain    bool   // committed
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
	seen     int64  // ends up to here are committed: the leader said so
	got      int64  // ends up to here were read and are on their way
	listed   bool   // both lists were read whole under this fence
	holding  bool   // a look that may wait is under way
	peeking  bool   // one beside it that doesn't
	holdNo   uint64 // of the look begun last
	looked   uint64 // the newest look that brought both lists whole
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

// beatWait is a heartbeat that waits for the runner to be taken up.
type beatWait struct {
	drain bool
	done  chan int
}

// onBeat takes a heartbeat: a new id is a new life of the runner.
func (s *Side) onBeat(b *beatIn) {
	session := s.cur
	if s.over[b.id] && session != nil && session.id != b.id {
		// Why passed over: it came late, and would end the present life's
		// session here, with its grant and what is known of its runs.
		b.done <- 200
		return
	}
	if session == nil || session.id != b.id {
		_ = s.log.Log("level", "info", "event", "runner.new", "runner", b.id)
		next := &runnerSession{id: b.id, beat: b.beat, seq: b.beat.CallSeq, runs: map[string]*run{}}
		if session != nil && session.fence > 0 {
			next.before = session.id
		}
		session, s.cur = next, next
		s.readClock(session, b.beat.ClockMs)
		session.waiting = append(session.waiting, beatWait{s.leaves(session), b.done})
		s.takeUp(session)
		return
	}
	if b.beat.CallSeq < session.seq {
		// Why still 200: it was heard, only later than a newer one.
		b.done <- 200
		return
	}
	session.seq = b.beat.CallSeq
	session.beat = b.beat
	drain := s.leaves(session)
	s.readClock(session, b.beat.ClockMs)
	if session.fence == 0 || session.taking {
		session.waiting = append(session.waiting, beatWait{drain, b.done})
		return
	}
	if drain && !session.drain {
		s.drain(session, b.done)
		return
	}
	b.done <- 200
}

// leaves tells whether the runner said that it leaves: by a heartbeat or by its
// sign-off, after which some go on to say `ready`.
func (s *Side) leaves(session *runnerSession) bool {
	_, off := s.signOff[session.id]
	return off || session.beat.State == "draining"
}

// leavesIn is the least time until the runner leaves, in ms, or -1.
func (s *Side) leavesIn(session *runnerSession) int64 {
	if at, off := s.signOff[session.id]; off {
		return max(0, at.Sub(s.now).Milliseconds())
	}
	if session.beat.LeavesAtMs == nil {
		return -1
	}
	return *session.beat.LeavesAtMs
}

// takeUp has the runner bound to this daemon under a new fence.
func (s *Side) takeUp(session *runnerSession) {
	if session.taking || session.over {
		return
	}
	session.taking = true
	b, drain := session.beat, s.leaves(session)
	s.ask(member.AskTakeUp, &store.TakeUp{ID: session.id, Node: s.set.NodeName, Life: s.me, Service: b.TargetService, Zone: b.Zone,
		Labels: b.Labels, Room: b.FreeRoom, Draining: drain, LeavesIn: s.leavesIn(session), Replaces: session.replaces}, 10*time.Second, func(a member.Answer) {
		if s.cur != session {
			return
		}
		if a.Code == 412 && a.N > session.replaces {
			s.prove(session, a.N)
			return
		}
		session.taking = false
		if a.Code == 409 {
			s.close(session)
		}
		if a.Code != 200 {
			s.waiters(session, 503)
			session.renewAt = s.now
			return
		}
		if session.before != "" {
			// Why now: the state ended it with this take-up.
			s.isOver(session.before)
		}
		session.fence, session.listed, session.drain = a.N, false, drain
		// Why told anew: what is under way under the old fence may be refused.
		session.got, session.telling = session.seen, 0
		session.sick, session.silent, session.heardAt = false, 0, s.now
		// Why so far: a daemon that ordered this runner before us may have
		// held it up to there.
		session.sent = max(session.sent, s.clockNow(session)+tune.HoldReach.Milliseconds())
		session.renewAt = time.Time{}
		session.until = 0
		session.holdFail = 0
		// Why forgotten: the leader says anew what is to run, and what does
		// run is read from the lists under the new fence.
		session.runs = map[string]*run{}
		s.waiters(session, 200)
	})
}

// prove asks the runner whether it is still in this life, before the life that
// the state knows on this machine is ended: a heartbeat may have come late.
func (s *Side) prove(session *runnerSession, replaces int64) {
	go func() {
		x, stop := context.WithTimeout(s.ctx, tune.OrderRound)
		p := s.call.Call(x, session.id, pathHold, wire.Hold{})
		stop()
		s.later(func() {
			if s.cur != session {
				return
			}
			session.taking = false
			switch p.Code {
			case 0:
				s.waiters(session, 503)
				session.renewAt = s.now
			case 421:
				s.close(session)
				s.waiters(session, 200)
			default:
				session.replaces = replaces
				s.takeUp(session)
			}
		})
	}()
}

// waiters answers the heartbeats that waited.
func (s *Side) waiters(session *runnerSession, code int) {
	for _, w := range session.waiting {
		if code == 200 && w.drain && !session.drain {
			s.drain(session, w.done)
			continue
		}
		w.done <- code
	}
	session.waiting = nil
}

// drain has the runner's draining committed, and then acknowledged.
func (s *Side) drain(session *runnerSession, done chan int) {
	_ = s.log.Log("level", "info", "event", "runner.drains", "runner", session.id, "leaves_in_ms", s.leavesIn(session), "clock_ms", session.beat.ClockMs)
	s.ask(member.AskElig, &store.Eligible{ID: session.id, Draining: true, LeavesIn: s.leavesIn(session), Sick: session.sick}, 950*time.Millisecond, func(a member.Answer) {
		if a.Code == 200 {
			session.drain = true
			done <- 200
			return
		}
		done <- 503
	})
}

// onOff takes a sign-off: 200 once it is committed.
func (s *Side) onOff(o *offIn) {
	session := s.cur
	if session == nil || session.id != o.id {
		// Why committed all the same: this daemon may have started anew, and
		// the state may know that life from the one before.
		session = &runnerSession{id: o.id}
	}
	if _, again := s.signOff[o.id]; !again {
		leaves := s.now
		if !session.drain && !s.leaves(session) {
			// Why later: it never drained, and serves on for as long now.
			leaves = leaves.Add(time.Duration(s.set.Bounds.DrainMs * float64(time.Millisecond)))
		}
		if s.signOff == nil {
			s.signOff = map[string]time.Time{}
		}
		s.signOff[o.id] = leaves
	}
	if session == s.cur && !session.over && (session.fence == 0 || session.taking) {
		session.waiting = append(session.waiting, beatWait{true, o.done})
		return
	}
	s.ask(member.AskElig, &store.Eligible{ID: o.id, Draining: true, LeavesIn: s.leavesIn(session), Gone: true, Sick: session.sick}, 950*time.Millisecond, func(a member.Answer) {
		if a.Code == 200 || a.Code == 410 {
			session.drain = true
			o.done <- 200
			return
		}
		o.done <- 503
	})
}

// renew asks for a longer grant.
func (s *Side) renew(session *runnerSession) {
	session.renewing, session.renewAt = true, s.now
	// Why read before the ask: the grant counts from when it was asked for.
	from, fence := s.clockNow(session), session.fence
	if session.clock == 0 {
		from = 0
	}
	s.ask(member.AskRenew, &member.Renew{Worker: session.id, Fence: session.fence, Ratio: s.ratio(session), Known: s.known}, 3*time.Second, func(a member.Answer) {
		session.renewing = false
		if s.cur != session || session.fence != fence {
			return
		}
		switch a.Code {
		case 200:
			if from > 0 && from+a.N > session.until {
				session.until = from + a.N
			}
		case 409:
			s.takeUp(session)
		case 410:
			session.over = true
		}
	})
}

// close ends a session whose life is over.
func (s *Side) close(session *runnerSession) {
	session.over = true
	s.isOver(session.id)
}

// isOver notes that a life is over: no heartbeat brings it back.
func (s *Side) isOver(id string) {
	if s.over == nil {
		s.over = map[string]bool{}
	}
	s.over[id] = true
}

// readClock takes note of the runner's clock; late answers show less.
func (s *Side) readClock(session *runnerSession, ms int64) {
	if ms > 0 && ms >= session.clock {
		session.clock, session.clockAt = ms, s.now
	}
}

// clockNow is the runner's clock, estimated from the newest reading.
func (s *Side) clockNow(session *runnerSession) int64 {
	return session.clock + s.now.Sub(session.clockAt).Milliseconds()
}

// heard counts calls in a row that the runner left without an answer.
func (s *Side) heard(session *runnerSession, r Reply) {
	if r.Code == 0 {
		session.silent++
		return
	}
	session.silent, session.heardAt = 0, s.now
}

// dark tells whether the runner has fallen silent.
func (s *Side) dark(session *runnerSession) bool {
	return session.silent >= 2 && s.now.Sub(session.heardAt) > tune.Dark
}

// lapsed tells whether all that was ever held at the silent runner has lapsed:
// its clock may run slow, and never shows less than this.
func (s *Side) lapsed(session *runnerSession) bool {
	least := session.clock + int64(float64(s.now.Sub(session.clockAt).Milliseconds())/tune.HoldDrift)
	return session.clock > 0 && least > session.sent+tune.LapseMargin.Milliseconds()
}

// care tells the leader when the runner is sick or well again, and closes
// what a silent runner can no longer be running.
func (s *Side) care(session *runnerSession) time.Duration {
	dark := s.dark(session)
	sick := dark || s.now.Sub(session.stuckAt) < tune.StuckPause
	if sick != session.sick && !session.sickTold {
		session.sickTold = true
		_ = s.log.Log("level", "warn", "event", "runner.sick", "runner", session.id, "sick", sick, "dark", dark)
		s.ask(member.AskElig, &store.Eligible{ID: session.id, Draining: session.drain, LeavesIn: s.leavesIn(session), Sick: sick}, time.Second, func(a member.Answer) {
			session.sickTold = false
			if a.Code == 200 {
				session.sick = sick
			}
		})
	}
	if !dark {
		if session.sick {
			return 100 * time.Millisecond
		}
		return 0
	}
	gone := s.lapsed(session)
	for _, r := range session.runs {
		if r.verdict != "" || r.busy && !gone {
			continue
		}
		switch {
		case r.attempts == 0 && r.state == wanted && session.listed:
			// Why only once listed: before, another fence may have started it.
			s.tell(session, r, "refused")
		case gone:
			s.tell(session, r, "lapsed")
		}
	}
	return 50 * time.Millisecond
}
