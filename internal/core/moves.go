package core

import (
	"context"

	"tealpond/internal/member"
	"tealpond/internal/move"
	"tealpond/internal/protocol"
	"tealpond/internal/store"
	"tealpond/internal/transport"
)

// SetMoves turns moving on.
func (c *Core) SetMoves(s move.Setting) { c.peering = &s }

// Moves shows the mover what there is to do.
func (c *Core) Moves(ctx context.Context) move.Work {
	var w move.Work
	if a, ok := c.own(ctx, member.AskMoves, nil); ok {
		_ = transport.Decode(a.Body, &w)
	}
	return w
}

// Do puts a command of the mover's into the log.
func (c *Core) Do(ctx context.Context, kind string, cmd store.Cmd) (store.Outcome, bool) {
	a, ok := c.own(ctx, member.AskCommand, transport.Encode(store.Encode(kind, cmd)))
	return store.Outcome{Code: a.Code, Text: a.Text, N: a.N}, ok && a.Code >= 100
}

// own sends a request to the loop of this process.
func (c *Core) own(ctx context.Context, kind string, body []byte) (member.Answer, bool) {
	got := make(chan member.Answer, 1)
	select {
	case c.events <- Event{Own: &Local{Ask: member.Ask{Kind: kind, Body: body}, Reply: func(a member.Answer) {
		select {
		case got <- a:
		default:
		}
	}}}:
	case <-ctx.Done():
		return member.Answer{}, false
	}
	select {
	case a := <-got:
		return a, true
	case <-ctx.Done():
		return member.Answer{}, false
	}
}

// onOwn answers the mover of this process; streams can't reach it.
func (c *Core) onOwn(l *Local) {
	if c.node == nil || !c.node.LeaderReady() || !c.leading || c.peering == nil {
		l.Reply(member.Answer{Code: member.NotLead})
		return
	}
	switch l.Ask.Kind {
	case member.AskMoves:
		l.Reply(member.Answer{Code: 200, Body: transport.Encode(c.work())})
	case member.AskCommand:
		var r store.Raw
		if transport.Decode(l.Ask.Body, &r) != nil {
			l.Reply(member.Answer{Code: 400})
			return
		}
		c.commands = append(c.commands, r)
		c.replies = append(c.replies, replyOutcome(l.Reply))
	}
}

// work gathers open moves, candidates and the record of demand.
func (c *Core) work() move.Work {
	state := c.state
	work := move.Work{Leads: true, Epoch: state.Epoch, Index: c.state.Applied, Wall: state.Wall, Demand: map[int64]float64{}}
	may, there := map[string]bool{}, map[string]string{}
	services := map[string]bool{}
	for _, l := range c.peering.Lanes {
		may[l.Here] = true
		there[l.Here] = l.There
		if x := state.Lanes[l.Here]; x != nil {
			services[x.TargetService] = true
		}
	}
	for _, job := range state.Open() {
		if job.Away() {
			work.Open = append(work.Open, move.Open{Job: job.ID, Peer: job.Move.Peer, No: job.Move.No, State: job.Move.State, Cancel: job.Move.Cancel, Lane: there[job.Lane],
				Body: protocol.Job{Spec: job.Spec, Steps: job.Steps}})
			continue
		}
		if may[job.Lane] && !job.Began && job.RunTimes == 0 && !job.Move.Guest && !lasts(job) {
			cpu := int64(0)
			for _, step := range job.Steps {
				cpu = max(cpu, step.CPUUnits*int64(step.TaskCount))
			}
			work.Free = append(work.Free, move.Candidate{Job: job.ID, Lane: job.Lane, Priority: job.Priority, CPU: cpu, Rounds: job.Move.Rounds})
		}
	}
	if len(services) == 0 {
		for n := range state.Services {
			services[n] = true
		}
	}
	for _, job := range state.Jobs {
		if job.EndedAt != 0 && job.Away() && job.Move.State == store.MoveTaken {
			work.Open = append(work.Open, move.Open{Job: job.ID, Peer: job.Move.Peer, No: job.Move.No, State: job.Move.State, Over: true})
		}
	}
	for n, route := range state.Lanes {
		if services[route.TargetService] {
			for b, v := range state.Demand[n] {
				work.Demand[b] += v
			}
		}
	}
	for n := range services {
		room, _ := state.Bookable(n)
		work.Room += room.CPU
	}
	return work
}

// lasts tells whether a job has a long-running step.
func lasts(job *store.Job) bool {
	for _, step := range job.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

// askPeer answers the leader of another cluster.
func (c *Core) askPeer(raw []byte, _ *transport.Stream, reply replyFunc) {
	if c.peering == nil {
		reply(member.Answer{Code: 404, Text: "moving is off"})
		return
	}
	q, why := c.peering.Open(raw)
	if why != "" {
		_ = c.log.Log("level", "warn", "event", "peer.refused", "why", why)
		reply(member.Answer{Code: 403, Text: why})
		return
	}
	say := func(word string, n int64) {
		reply(member.Answer{Code: 200, Body: transport.Encode(move.Said{Word: word, Epoch: c.state.Epoch, Index: c.state.Applied, N: n})})
	}
	settled := func(outcome store.Outcome, ok bool) {
		if !ok {
			reply(member.Answer{Code: member.Unclear})
			return
		}
		// A job that was taken is looked up again: it may have ended since.
		word := outcome.Text
		if job := c.state.Jobs[q.Job]; word == "taken" && job != nil {
			word = store.GuestWord(job)
		}
		say(word, outcome.N)
	}
	switch q.Kind {
	case move.CallLoan:
		w := c.work()
		spare := c.peering.Spare(w)
		if c.peering.Crowded(w) || spare < q.CPU {
			say("crowded", spare)
			return
		}
		service := c.lendService()
		slice := max(w.Room/64, 1)
		c.add("lend", &store.Lend{ID: q.Loan, Peer: q.From, Service: service, CPU: spare, Least: q.CPU, For: q.ForMs, Slice: slice, Slices: int(c.peering.LendShare * 64)}, func(outcome store.Outcome, ok bool) {
			if !ok {
				reply(member.Answer{Code: member.Unclear})
				return
			}
			word := "lent"
			if outcome.Code != 200 {
				word = "full"
			}
			say(word, outcome.N)
		})
	case move.CallOffer:
		c.add("accept", &store.Accept{Peer: q.From, No: q.No, ID: q.Job, Lane: q.Lane, Loan: q.Loan, Job: q.Body}, settled)
	case move.CallRelease:
		c.add("release", &store.Release{Peer: q.From, No: q.No, ID: q.Job}, settled)
	case move.CallVoid:
		c.add("void", &store.Void{Peer: q.From, No: q.No, ID: q.Job, Cancel: q.Cancel}, settled)
	default:
		reply(member.Answer{Code: 400, Text: "unknown call"})
	}
}

// lendService is the service whose room is lent: the first by name.
func (c *Core) lendService() string {
	best := ""
	for n := range c.state.Services {
		if best == "" || n < best {
			best = n
		}
	}
	return best
}

// replyToCancel answers a cancellation; one of a job at a peer waits until the
// peer has stopped it.
func (c *Core) replyToCancel(id string, reply replyFunc) func(store.Outcome, bool) {
	return func(outcome store.Outcome, ok bool) {
		if ok && outcome.Code == 202 {
			// Its runs may start until the stop is in the peer's log.
			c.cancelWaiters[id] = append(c.cancelWaiters[id], reply)
			return
		}
		replyOutcome(reply)(outcome, ok)
	}
}

// settleCancelWaiters answers the cancellations whose job has ended.
func (c *Core) settleCancelWaiters() {
	for id, rs := range c.cancelWaiters {
		job := c.state.Jobs[id]
		if c.leading && job != nil && job.EndedAt == 0 {
			continue
		}
		for _, reply := range rs {
			if c.leading {
				reply(member.Answer{Code: 200})
			} else {
				reply(member.Answer{Code: member.Unclear})
			}
		}
		delete(c.cancelWaiters, id)
	}
}

// bucket is that of now in the record of demand, 0 while moving is off.
func (c *Core) bucket() int64 {
	if c.peering == nil {
		return 0
	}
	return c.peering.BucketOf(c.state.Wall)
}
