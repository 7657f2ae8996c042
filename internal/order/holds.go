package order

import (
	"context"
	"sort"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

// sample is how long a run took, in hundredths of its estimate.
type sample struct {
	ratio int64
	at    time.Time
}

// look holds what runs and reads the lists.
func (s *Side) look(session *runnerSession) time.Duration {
	if session.holdFail > 0 {
		if left := min(time.Duration(session.holdFail)*50*time.Millisecond, 500*time.Millisecond) - s.now.Sub(session.holdAt); left > 0 {
			return left
		}
	}
	unsure := session.unsure()
	if session.holding {
		if unsure && !session.peeking {
			// Why beside it: that one was begun before the silence, and may
			// wait for an end.
			s.hold(session, 0, &session.peeking)
		}
		return 0
	}
	wait := tune.HoldWait
	if session.telling > 0 && !unsure {
		// Why not while ends are unacknowledged: the look would return at
		// once with the same ends; only a newer grant is worth it.
		gain := min(session.until, s.clockNow(session)+tune.HoldReach.Milliseconds()) - session.untilOut
		if left := tune.HoldReach.Milliseconds()/2 - gain; left > 0 {
			return max(time.Duration(left)*time.Millisecond, 50*time.Millisecond)
		}
		wait = 0
	}
	if len(session.runs) == 0 {
		wait = tune.HoldQuiet
	}
	if !session.listed || session.until > 0 && session.untilOut == 0 || unsure {
		wait = 0
	}
	for _, r := range session.runs {
		if r.state == stopped {
			wait = min(wait, 100*time.Millisecond)
		}
		if late := s.now.Sub(r.begun).Milliseconds() > 3*r.order.EstMs/2+100; r.state == started && late && !r.order.Lasts {
			// Why sooner: it may stand still, and nothing would end the wait.
			wait = min(wait, tune.HoldLate)
		}
	}
	if session.silent > 0 {
		// Why a short look that holds nothing: each hold sent to a runner that
		// may be gone would put off the moment when its work is surely over.
		wait = 0
	}
	s.hold(session, wait, &session.holding)
	return 0
}

// unsure tells whether a call was left without an answer, and no look begun
// since then has come back.
func (session *runnerSession) unsure() bool {
	for _, r := range session.runs {
		if r.unsure && session.looked <= r.asked {
			return true
		}
	}
	return false
}

// hold makes one look; busy is set while it is under way.
func (s *Side) hold(session *runnerSession, wait time.Duration, busy *bool) {
	h := wire.Hold{FenceNumber: session.fence, LastSeen: session.seen, WaitMs: wait.Milliseconds()}
	// Why short: when the runner falls silent, all that it held is over so
	// much sooner, and a grant is there to prolong it.
	if u := min(session.until, s.clockNow(session)+tune.HoldReach.Milliseconds()); session.clock > 0 && u > session.untilOut && session.silent == 0 {
		h.UntilMs = u
		session.sent = max(session.sent, u)
	}
	*busy, session.holdAt = true, s.now
	session.holdNo++
	no, fence := session.holdNo, session.fence
	go func() {
		x, stop := context.WithTimeout(s.ctx, wait+tune.HoldSlack)
		r := s.call.Call(x, session.id, pathHold, h)
		stop()
		s.later(func() {
			*busy = false
			s.heard(session, r)
			if s.cur != session || session.fence != fence {
				return
			}
			s.onLists(session, h, no, r)
		})
	}()
}

// onLists compares a runner's lists with what is known here.
func (s *Side) onLists(session *runnerSession, h wire.Hold, no uint64, r Reply) {
	if r.Code != 200 {
		session.holdFail++
		if r.Code == 409 && r.Clock.Reason == "fence" {
			s.takeUp(session)
		}
		return
	}
	session.holdFail = 0
	s.readClock(session, r.Clock.ClockMs)
	if h.UntilMs > session.untilOut {
		session.untilOut = h.UntilMs
	}
	if no < session.looked {
		// Why passed over: a look that was begun later came back before it.
		return
	}
	there := map[string]wire.Run{}
	for _, v := range r.Lists.Runs() {
		there[key(v.Task, v.Run)] = v
	}
	ends := r.Lists.Ends()
	whole := len(ends) < tune.EndsListed
	var fresh []wire.End
	over := map[string]bool{}
	for _, e := range ends {
		over[key(e.Task, e.Run)] = true
		session.remember(e, s.now)
		if e.N > session.got {
			session.got = e.N
			fresh = append(fresh, e)
			s.trace.Record(e.Task, "end listed", int64(e.Run), e.How)
			if q := session.runs[key(e.Task, e.Run)]; q != nil && e.How == "done" && !q.begun.IsZero() && q.order.EstMs > 0 && q.order.Saved == "" {
				session.samples = append(session.samples, sample{s.now.Sub(q.begun).Milliseconds() * 100 / q.order.EstMs, s.now})
			}
		}
	}
	var saved []wire.Run
	for k, v := range there {
		q := session.runs[k]
		if q == nil {
			// Why kept: the leader will name it, and must not start it twice.
			q = &run{order: member.Order{Task: v.Task, Run: v.Run}}
			if session.ended[k] != nil {
				// Why stopped: the state was told that it is over.
				_ = s.log.Log("level", "error", "event", "run.alive", "task", v.Task, "run", v.Run)
				q.stopAsked = true
			}
			session.runs[k] = q
		}
		if q.state == wanted || q.state == starting {
			q.state = started
		}
		q.missed = 0
		if q.verdict != "" {
			_ = s.log.Log("level", "error", "event", "run.alive", "task", v.Task, "run", v.Run, "told", q.verdict)
			q.state = stopping
			continue
		}
		s.progress(session, q, v)
		if v.Saved != q.saved {
			q.saved = v.Saved
			saved = append(saved, v)
		}
	}
	first := !session.listed && whole
	if whole {
		session.listed, session.looked = true, no
	}
	for k, q := range session.runs {
		if _, ok := there[k]; ok {
			continue
		}
		if over[k] {
			delete(session.runs, k)
			continue
		}
		if q.verdict != "" {
			continue
		}
		// Why only looks begun after the answer: an older one can't know it.
		if (q.state == started || q.state == stopped) && no > q.asked && whole {
			q.missed++
			if q.missed >= 2 || q.state == stopped {
				s.tell(session, q, "stopped")
			}
		}
	}
	if len(fresh) > 0 || len(saved) > 0 {
		s.tellEnds(session, fresh, len(fresh) > 0 && fresh[0].N == ends[0].N, saved)
	}
	if first {
		_ = s.log.Log("level", "info", "event", "runner.listed", "runner", session.id, "fence", session.fence, "running", len(there), "ended", len(ends))
	}
}

// progress notes how far a run is, and stops one that stands still.
func (s *Side) progress(session *runnerSession, q *run, v wire.Run) {
	if q.begun.IsZero() {
		q.begun, q.percentAt = s.now, s.now
	}
	if !q.seen {
		// Why kept: a run that resumes begins in its middle.
		q.seen, q.percent, q.firstPercent = true, v.Percent, v.Percent
		q.percentAt = s.now
		return
	}
	if v.Percent != q.percent {
		q.percent, q.percentAt = v.Percent, s.now
		return
	}
	still := s.now.Sub(q.percentAt)
	// Why by its own pace: a slow worker's long task moves a point rarely.
	pace := q.percentAt.Sub(q.begun) / time.Duration(max(q.percent-q.firstPercent, 1))
	if q.percent == q.firstPercent {
		pace = time.Duration(q.order.EstMs) * time.Millisecond / 100
	}
	least := tune.StuckAfter
	if q.order.Saved != "" {
		// Why more: it makes no progress while it reads its saved text.
		least += 2 * time.Duration(s.set.Bounds.RestoreMs) * time.Millisecond
	}
	if still < least || still < 8*pace || q.order.Lasts || q.stopAsked || q.order.Worker == "" {
		return
	}
	_ = s.log.Log("level", "warn", "event", "run.stuck", "task", v.Task, "run", v.Run, "percent", v.Percent, "still_ms", still.Milliseconds())
	q.stopAsked = true
	session.stuckAt = s.now
}

// ratio is the middle of how long runs took lately against their estimates.
func (s *Side) ratio(session *runnerSession) int64 {
	keep := session.samples[:0]
	for _, m := range session.samples {
		if s.now.Sub(m.at) < tune.SpeedSpan {
			keep = append(keep, m)
		}
	}
	session.samples = keep
	var all []int64
	for _, m := range keep {
		all = append(all, m.ratio)
	}
	for _, r := range session.runs {
		// Why also what still runs: on a slow worker little ends.
		if r.state != started || r.begun.IsZero() || r.order.EstMs <= 0 {
			continue
		}
		took := s.now.Sub(r.begun).Milliseconds()
		if r.order.Saved != "" {
			continue
		}
		if r.percent >= 5 {
			all = append(all, r.percentAt.Sub(r.begun).Milliseconds()*100/int64(r.percent)*100/r.order.EstMs)
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
