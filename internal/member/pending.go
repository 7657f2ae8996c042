package member

import (
	"context"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/tune"
)

type pending struct {
	ask   Ask
	reply chan Answer
	till  time.Time
	// noLead is when an ask that was surely never taken is given up, known the
	// same while it is known that there is no leader in reach.
	noLead, known time.Time
	sent          time.Time // zero while not under way
	// open counts the times that it was sent and may have been taken.
	open int
	done <-chan struct{}
}

// end is the answer to an ask that is given up.
func (p *pending) end() {
	code := NoLeader
	if p.open > 0 {
		code = Lost
	}
	p.reply <- Answer{Code: code}
}

// patience is how long an ask waits for a leader: known, while it is known
// that none is in reach.
type patience struct{ most, known time.Duration }

// patienceOf tells it by the kind of ask: clients lose more by being turned
// away in an election than operators, who go on to the next daemon.
var patienceOf = map[string]patience{
	AskHandIn: {tune.NoLeaderWait, tune.NoLeaderKnown},
	AskStatus: {tune.NoLeaderWait, tune.NoLeaderKnown},
	AskCancel: {tune.NoLeaderWait, tune.NoLeaderKnown},
	AskPut:    {tune.OperatorWait, 0},
	AskRead:   {tune.OperatorWait, 0},
}

// Ask carries an ask to the leader, again if need be, until ctx ends. All
// asks can be repeated without harm.
func (s *Seeker) Ask(ctx context.Context, kind string, body any) Answer {
	return s.AskRaw(ctx, Ask{Kind: kind, Body: link.Pack(body)})
}

// AskRaw is Ask with a body that is already packed.
func (s *Seeker) AskRaw(ctx context.Context, a Ask) Answer { return s.Post(ctx, a)() }

// Post is AskRaw in two steps: the ask is under way when Post returns, behind
// all that were posted before it; the function that it gives waits for the
// answer.
func (s *Seeker) Post(ctx context.Context, a Ask) func() Answer {
	now := time.Now()
	till, ok := ctx.Deadline()
	if !ok {
		till = now.Add(time.Minute)
	}
	w, ok := patienceOf[a.Kind]
	if !ok {
		w = patience{tune.NoLeaderWait, tune.NoLeaderWait}
	}
	if ctx.Value(leaderWaitKey{}) != nil {
		w.most = leaderWait(ctx)
	}
	p := &pending{ask: a, reply: make(chan Answer, 1), till: till, noLead: now.Add(w.most), known: now.Add(w.known), done: ctx.Done()}
	select {
	case s.in <- event{ask: p}:
	case <-ctx.Done():
		return func() Answer { return Answer{Code: NoLeader} }
	}
	return func() Answer {
		select {
		case a := <-p.reply:
			return a
		case <-ctx.Done():
			select {
			case a := <-p.reply:
				return a
			case <-time.After(20 * time.Millisecond):
				return Answer{Code: Lost}
			}
		}
	}
}

func (s *Seeker) sendOne(id uint64, p *pending) {
	if s.stream == nil {
		return
	}
	if s.stream.Send(link.Frame{Kind: FrameAsk, ID: id, Body: link.Pack(p.ask)}) {
		p.sent = s.now
		p.open++
	}
}

func (s *Seeker) answer(ctx context.Context, id uint64, a Answer) {
	p := s.waiting[id]
	if p == nil {
		return
	}
	if a.Code == NotLead || a.Code == Unclear {
		// Why again: an ask has the same effect however often it is taken.
		if a.Lead != "" {
			s.leader = a.Lead
		}
		if a.Code == NotLead {
			p.open--
		}
		s.avoid(s.address)
		s.drop()
		return
	}
	s.goHome(ctx, a)
	if a.Desired != 0 && s.news != nil {
		s.news(a.Desired)
	}
	delete(s.waiting, id)
	p.reply <- a
}

// expire answers the asks whose time is over, and those that wait for a leader
// in vain; soon takes when to look again.
func (s *Seeker) expire(soon func(time.Duration)) {
	leaderless := s.leaderless(s.now)
	for id, p := range s.waiting {
		if p.over(s.now, leaderless) {
			delete(s.waiting, id)
			p.end()
			continue
		}
		soon(p.till.Sub(s.now))
		if p.open == 0 {
			soon(p.noLead.Sub(s.now))
			if leaderless {
				soon(p.known.Sub(s.now))
			}
		}
	}
}

// over tells whether an ask is to be given up.
func (p *pending) over(now time.Time, leaderless bool) bool {
	select {
	case <-p.done:
		// Why answered then: its caller waits a moment longer for this.
		return true
	default:
	}
	return !now.Before(p.till) || p.open == 0 && (!now.Before(p.noLead) || leaderless && !now.Before(p.known))
}

// silent tells whether the leader left an ask without an answer for too long;
// soon takes when to look again.
func (s *Seeker) silent(soon func(time.Duration)) bool {
	silent := false
	most := tune.AskRound + s.transfer()
	for _, p := range s.waiting {
		if p.sent.IsZero() {
			continue
		}
		// Why by what was heard: a busy leader answers late, and to turn
		// away from it would only bring it more to do.
		from := p.sent
		if s.heard.After(from) {
			from = s.heard
		}
		if s.now.Sub(from) > most || s.now.Sub(p.sent) > max(most, tune.AskMost) {
			silent = true
		} else {
			soon(most - s.now.Sub(from) + time.Millisecond)
		}
	}
	return silent
}

// transfer is how long what is under way may take on a slow link. Why for all
// asks together: a small one waits behind a large one.
func (s *Seeker) transfer() time.Duration {
	bytes := 0
	for _, p := range s.waiting {
		if p.sent.IsZero() {
			continue
		}
		bytes += len(p.ask.Body)
		if p.ask.Kind == AskRead {
			bytes += s.largest
		}
	}
	return time.Duration(bytes) * time.Second / tune.SlowLink
}
