package order

import (
	"sort"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/store"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

// endedRun is a run that is over here: its end as listed, or, with N = 0, as
// this daemon told it.
type endedRun struct {
	end     wire.End
	at      time.Time
	telling bool // it is being told again
}

// tellEnds has ends committed before they are acknowledged to the runner;
// first tells that they begin the runner's list.
func (s *Side) tellEnds(session *runnerSession, ends []wire.End, first bool, saved []wire.Run) {
	fence, seen := session.fence, session.seen
	if len(ends) > 0 {
		session.telling++
	}
	s.ask(member.AskEnds, &store.Ends{Worker: session.id, Fence: fence, Ends: ends, First: first, Saved: saved}, 20*time.Second, func(a member.Answer) {
		if s.cur != session {
			return
		}
		if a.Code == 200 {
			s.committed(session, a, seen, fence)
		}
		if fence != session.fence {
			return
		}
		if len(ends) > 0 {
			session.telling--
		}
		if a.Code == 409 {
			s.takeUp(session)
		}
		if a.Code == 200 && len(ends) > 0 && a.N < ends[len(ends)-1].N {
			// Why at once: an earlier end was lost on its way, and jobs wait.
			if again := session.unacknowledged(); len(again) > 0 && again[0].N == session.seen+1 {
				s.tellEnds(session, again, false, nil)
			}
		}
		if session.telling == 0 {
			// Why read again: what is on its way no more, and not committed,
			// is still in the runner's list.
			session.got = session.seen
		}
	})
}

// committed takes note of the prefix of ends that the state holds: never the
// top of what was told, since what was told before may be lost.
func (s *Side) committed(session *runnerSession, a member.Answer, seenBefore, fence int64) {
	if a.Text != "" {
		_ = s.log.Log("level", "error", "event", "ends.fault", "runner", session.id, "fence", fence, "why", a.Text)
	}
	if a.N < seenBefore {
		_ = s.log.Log("level", "error", "event", "ends.fault", "runner", session.id, "fence", fence,
			"why", "the state holds fewer ends than it said before", "held", a.N, "acknowledged", seenBefore)
	}
	if a.N <= session.seen {
		return
	}
	for _, e := range session.ended {
		if e.end.N > session.seen && e.end.N <= a.N {
			s.trace.Record(e.end.Task, "end acknowledged", e.end.N, "")
		}
	}
	session.seen = a.N
}

// unacknowledged are the ends that were read and aren't known to be committed.
func (session *runnerSession) unacknowledged() []wire.End {
	var out []wire.End
	for _, e := range session.ended {
		if e.end.N > session.seen {
			out = append(out, e.end)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].N < out[b].N })
	return out
}

// tellAgain answers an order of a run that is over: an order says that the
// state holds it as open. Mostly the two only crossed; if not, it closes it.
func (s *Side) tellAgain(session *runnerSession, e *endedRun) {
	if e.end.N > session.seen || e.telling {
		// Why not: it is on its way, or will be once it is listed again.
		return
	}
	e.telling = true
	fence, seen := session.fence, session.seen
	s.ask(member.AskEnds, &store.Ends{Worker: session.id, Fence: fence, Ends: []wire.End{e.end}}, 20*time.Second, func(a member.Answer) {
		e.telling = false
		if s.cur != session {
			return
		}
		switch {
		case a.Code == 200:
			s.committed(session, a, seen, fence)
		case fence != session.fence:
			// Why no more: under a new fence all is ordered anew.
		case a.Code == 409:
			s.takeUp(session)
		case a.Code != 410:
			s.tellAgain(session, e)
		}
	})
}

// remember notes that a run is over; old ones are forgotten once the state
// holds their ends: it then orders them no more.
func (session *runnerSession) remember(end wire.End, now time.Time) {
	if session.ended == nil {
		session.ended = map[string]*endedRun{}
	}
	k := key(end.Task, end.Run)
	if e := session.ended[k]; e != nil {
		if end.N > e.end.N {
			// Why the listed one: it says how the run ended.
			e.end = end
		}
		return
	}
	if len(session.ended) >= tune.EndedKept {
		for o, e := range session.ended {
			if now.Sub(e.at) > tune.EndedTime && e.end.N <= session.seen {
				delete(session.ended, o)
			}
		}
	}
	session.ended[k] = &endedRun{end: end, at: now}
}

// tell has a run closed that the lists will never name. What was told once
// holds: the run is never started again under this fence, since a command that
// brought no answer may be committed at any later time.
func (s *Side) tell(session *runnerSession, r *run, how string) {
	r.verdict = how
	s.tellVerdict(session, r)
}

// tellVerdict has a run's verdict committed, again until an answer says that
// it is; it returns when to come back.
func (s *Side) tellVerdict(session *runnerSession, r *run) time.Duration {
	if r.verdict == "" || r.told {
		return 0
	}
	if left := r.notBefore.Sub(s.now); left > 0 {
		return left
	}
	r.told = true
	fence, seen, k := session.fence, session.seen, key(r.order.Task, r.order.Run)
	end := wire.End{Task: r.order.Task, Run: r.order.Run, How: r.verdict}
	s.ask(member.AskEnds, &store.Ends{Worker: session.id, Fence: fence, Ends: []wire.End{end}}, 20*time.Second, func(a member.Answer) {
		r.told = false
		r.notBefore = s.now.Add(tune.Renew)
		if s.cur != session || session.runs[k] != r {
			return
		}
		switch a.Code {
		case 200:
			s.committed(session, a, seen, fence)
			session.remember(end, s.now)
			delete(session.runs, k)
		case 409:
			s.takeUp(session)
		}
	})
	return 0
}
