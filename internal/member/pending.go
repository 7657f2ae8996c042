package member

import (
	"context"
	"time"

	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// pendingAsk is a request whose client waits for the answer.
type pendingAsk struct {
	ask      Ask
	reply    chan Answer
	deadline time.Time
	// noLeaderBy is when a request that was surely never taken is given up,
	// leaderlessBy the same while it is known that no leader is in reach.
	noLeaderBy, leaderlessBy time.Time
	sent                     time.Time // zero while not under way
	// unanswered counts the times that it was sent and may have been taken.
	unanswered int
	done       <-chan struct{}
}

// giveUp answers a request that is given up.
func (request *pendingAsk) giveUp() {
	code := NoLeader
	if request.unanswered > 0 {
		code = Lost
	}
	request.reply <- Answer{Code: code}
}

// leaderPatience is how long a request waits for a leader: at most, and while it
// is known that none is in reach.
type leaderPatience struct{ most, leaderless time.Duration }

// patienceByKind holds it by the kind of request: clients lose more by being
// turned away in an election than operators, who go on to the next daemon.
var patienceByKind = map[string]leaderPatience{
	AskHandIn: {tune.NoLeaderWait, tune.NoLeaderKnown},
	AskStatus: {tune.NoLeaderWait, tune.NoLeaderKnown},
	AskCancel: {tune.NoLeaderWait, tune.NoLeaderKnown},
	AskPut:    {tune.OperatorWait, 0},
	AskRead:   {tune.OperatorWait, 0},
}

// Ask carries a request to the leader, again if need be, until ctx ends. All
// requests can be repeated without harm.
func (s *Seeker) Ask(ctx context.Context, kind string, body any) Answer {
	return s.AskRaw(ctx, Ask{Kind: kind, Body: transport.Encode(body)})
}

// AskRaw is Ask with a body that is already packed.
func (s *Seeker) AskRaw(ctx context.Context, ask Ask) Answer { return s.Post(ctx, ask)() }

// Post is AskRaw in two steps: the request is queued when Post returns, behind
// all that were posted before it; the function that it gives waits for the
// answer.
func (s *Seeker) Post(ctx context.Context, ask Ask) func() Answer {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(time.Minute)
	}
	patience, ok := patienceByKind[ask.Kind]
	if !ok {
		patience = leaderPatience{tune.NoLeaderWait, tune.NoLeaderWait}
	}
	if ctx.Value(leaderWaitKey{}) != nil {
		patience.most = leaderWait(ctx)
	}
	request := &pendingAsk{ask: ask, reply: make(chan Answer, 1), deadline: deadline, noLeaderBy: now.Add(patience.most), leaderlessBy: now.Add(patience.leaderless), done: ctx.Done()}
	select {
	case s.events <- seekerEvent{ask: request}:
	case <-ctx.Done():
		return func() Answer { return Answer{Code: NoLeader} }
	}
	return func() Answer {
		select {
		case answer := <-request.reply:
			return answer
		case <-ctx.Done():
			select {
			case answer := <-request.reply:
				return answer
			case <-time.After(20 * time.Millisecond):
				return Answer{Code: Lost}
			}
		}
	}
}

// sendOne sends a request, if there is a connection.
func (s *Seeker) sendOne(id uint64, request *pendingAsk) {
	if s.stream == nil {
		return
	}
	if s.stream.Send(transport.Frame{Kind: FrameAsk, ID: id, Body: transport.Encode(request.ask)}) {
		request.sent = s.now
		request.unanswered++
	}
}

// answer takes the answer to a request.
func (s *Seeker) answer(ctx context.Context, id uint64, answer Answer) {
	request := s.pending[id]
	if request == nil {
		return
	}
	if answer.Code == NotLead || answer.Code == Unclear {
		// It is sent again: a request has the same effect however often it is
		// taken.
		if answer.Lead != "" {
			s.leader = answer.Lead
		}
		if answer.Code == NotLead {
			request.unanswered--
		}
		s.avoid(s.address)
		s.disconnect()
		return
	}
	s.switchToAggregator(ctx, answer)
	if answer.Desired != 0 && s.onVersion != nil {
		s.onVersion(answer.Desired)
	}
	delete(s.pending, id)
	request.reply <- answer
}

// expire answers the requests whose time is over, and those that wait for a
// leader in vain; soon takes when to check again.
func (s *Seeker) expire(soon func(time.Duration)) {
	leaderless := s.leaderless(s.now)
	for id, request := range s.pending {
		if request.expired(s.now, leaderless) {
			delete(s.pending, id)
			request.giveUp()
			continue
		}
		soon(request.deadline.Sub(s.now))
		if request.unanswered == 0 {
			soon(request.noLeaderBy.Sub(s.now))
			if leaderless {
				soon(request.leaderlessBy.Sub(s.now))
			}
		}
	}
}

// expired tells whether a request is to be given up.
func (request *pendingAsk) expired(now time.Time, leaderless bool) bool {
	select {
	case <-request.done:
		// Its caller waits for a moment longer, to learn whether it was taken.
		return true
	default:
	}
	return !now.Before(request.deadline) || request.unanswered == 0 && (!now.Before(request.noLeaderBy) || leaderless && !now.Before(request.leaderlessBy))
}

// leaderSilent tells whether the leader left a request without an answer for too
// long; soon takes when to check again.
func (s *Seeker) leaderSilent(soon func(time.Duration)) bool {
	silent := false
	most := tune.AskRound + s.transferTime()
	for _, request := range s.pending {
		if request.sent.IsZero() {
			continue
		}
		// Any frame counts as a sign of life: a busy leader answers late, and
		// to reconnect would only add to its load.
		from := request.sent
		if s.heardAt.After(from) {
			from = s.heardAt
		}
		if s.now.Sub(from) > most || s.now.Sub(request.sent) > max(most, tune.AskMost) {
			silent = true
		} else {
			soon(most - s.now.Sub(from) + time.Millisecond)
		}
	}
	return silent
}

// transferTime is how long the requests under way may take on a slow link, all
// together, since a small one waits behind a large one.
func (s *Seeker) transferTime() time.Duration {
	bytes := 0
	for _, request := range s.pending {
		if request.sent.IsZero() {
			continue
		}
		bytes += len(request.ask.Body)
		if request.ask.Kind == AskRead {
			bytes += s.largestAnswer
		}
	}
	return time.Duration(bytes) * time.Second / tune.SlowLink
}
