package core

import (
	"context"

	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/move"
	"tealpond/internal/store"
	"tealpond/internal/wire"
)

// SetMoves turns moving on.
func (c *Core) SetMoves(s move.Setting) { c.moves = &s }

// Moves shows the mover what there is to do.
func (c *Core) Moves(ctx context.Context) move.Work {
	var w move.Work
	if a, ok := c.own(ctx, member.AskMoves, nil); ok {
		_ = link.Unpack(a.Body, &w)
	}
	return w
}

// Do puts a command of the mover's into the log.
func (c *Core) Do(ctx context.Context, kind string, cmd store.Cmd) (store.Outcome, bool) {
	a, ok := c.own(ctx, member.AskCommand, link.Pack(store.Encode(kind, cmd)))
	return store.Outcome{Code: a.Code, Text: a.Text, N: a.N}, ok && a.Code >= 100
}

// own asks the loop of this process.
func (c *Core) own(ctx context.Context, kind string, body []byte) (member.Answer, bool) {
	got := make(chan member.Answer, 1)
	select {
	case c.in <- Event{Own: &Local{Ask: member.Ask{Kind: kind, Body: body}, Reply: func(a member.Answer) {
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
	if c.node == nil || !c.node.Ready() || !c.led || c.moves == nil {
		l.Reply(member.Answer{Code: member.NotLead})
		return
	}
	switch l.Ask.Kind {
	case member.AskMoves:
		l.Reply(member.Answer{Code: 200, Body: link.Pack(c.work())})
	case member.AskCommand:
		var r store.Raw
		if link.Unpack(l.Ask.Body, &r) != nil {
			l.Reply(member.Answer{Code: 400})
			return
		}
		c.batch = append(c.batch, r)
		c.replies = append(c.replies, outcome(l.Reply))
	}
}

// work gathers open moves, candidates and the record of demand.
func (c *Core) work() move.Work {
	s := c.st
	w := move.Work{Leads: true, Epoch: s.Epoch, Index: c.st.Applied, Wall: s.Wall, Demand: map[int64]float64{}}
	may, there := map[string]bool{}, map[string]string{}
	services := map[string]bool{}
	for _, l := range c.moves.Lanes {
		may[l.Here] = true
		there[l.Here] = l.There
		if x := s.Lanes[l.Here]; x != nil {
			services[x.TargetService] = true
		}
	}
	for _, j := range s.Open() {
		if j.Away() {
			w.Open = append(w.Open, move.Open{Job: j.ID, Peer: j.Move.Peer, No: j.Move.No, State: j.Move.State, Cancel: j.Move.Cancel, Lane: there[j.Lane],
				Body: wire.Job{JobSpec: j.Spec, Steps: j.Steps}})
			continue
		}
		if may[j.Lane] && !j.Began && j.RunTimes == 0 && !j.Move.Guest && !lasts(j) {
			cpu := int64(0)
			for _, st := range j.Steps {
				cpu = max(cpu, st.CPUUnits*int64(st.TaskCount))
			}
			w.Free = append(w.Free, move.Candidate{Job: j.ID, Lane: j.Lane, Priority: j.Priority, CPU: cpu, Rounds: j.Move.Rounds})
		}
	}
	if len(services) == 0 {
		for n := range s.Services {
			services[n] = true
		}
	}
	for _, j := range s.Jobs {
		if j.EndedAt != 0 && j.Away() && j.Move.State == store.MoveTaken {
			w.Open = append(w.Open, move.Open{Job: j.ID, Peer: j.Move.Peer, No: j.Move.No, State: j.Move.State, Over: true})
		}
	}
	for n, l := range s.Lanes {
		if services[l.TargetService] {
			for b, v := range s.Demand[n] {
				w.Demand[b] += v
			}
		}
	}
	for n := range services {
		room, _ := s.Bookable(n)
		w.Room += room.CPU
	}
	return w
}

func lasts(j *store.Job) bool {
	for _, st := range j.Steps {
		if st.LongRunning {
			return true
		}
	}
	return false
}

// askPeer answers the leader of another cluster.
func (c *Core) askPeer(raw []byte, _ *link.Stream, r reply) {
	if c.moves == nil {
		r(member.Answer{Code: 404, Text: "moving is off"})
		return
	}
	q, why := c.moves.Open(raw)
	if why != "" {
		_ = c.log.Log("level", "warn", "event", "peer.refused", "why", why)
		r(member.Answer{Code: 403, Text: why})
		return
	}
	say := func(word string, n int64) {
		r(member.Answer{Code: 200, Body: link.Pack(move.Said{Word: word, Epoch: c.st.Epoch, Index: c.st.Applied, N: n})})
	}
	settled := func(o store.Outcome, ok bool) {
		if !ok {
			r(member.Answer{Code: member.Unclear})
			return
		}
		// Why looked up anew for a taken job: it may have ended since.
		word := o.Text
		if j := c.st.Jobs[q.Job]; word == "taken" && j != nil {
			word = store.GuestWord(j)
		}
		say(word, o.N)
	}
	switch q.Kind {
	case move.CallLoan:
		w := c.work()
		spare := c.moves.Spare(w)
		if c.moves.Crowded(w) || spare < q.CPU {
			say("crowded", spare)
			return
		}
		service := c.lendService()
		slice := max(w.Room/64, 1)
		c.add("lend", &store.Lend{ID: q.Loan, Peer: q.From, Service: service, CPU: spare, Least: q.CPU, For: q.ForMs, Slice: slice, Slices: int(c.moves.LendShare * 64)}, func(o store.Outcome, ok bool) {
			if !ok {
				r(member.Answer{Code: member.Unclear})
				return
			}
			word := "lent"
			if o.Code != 200 {
				word = "full"
			}
			say(word, o.N)
		})
	case move.CallOffer:
		c.add("accept", &store.Accept{Peer: q.From, No: q.No, ID: q.Job, Lane: q.Lane, Loan: q.Loan, Job: q.Body}, settled)
	case move.CallRelease:
		c.add("release", &store.Release{Peer: q.From, No: q.No, ID: q.Job}, settled)
	case move.CallVoid:
		c.add("void", &store.Void{Peer: q.From, No: q.No, ID: q.Job, Cancel: q.Cancel}, settled)
	default:
		r(member.Answer{Code: 400, Text: "unknown call"})
	}
}

// lendService is the service whose room is lent: the first by name.
func (c *Core) lendService() string {
	best := ""
	for n := range c.st.Services {
		if best == "" || n < best {
			best = n
		}
	}
	return best
}

// askedOff waits for a peer to stop a job that is being called off.
func (c *Core) askedOff(id string, r reply) func(store.Outcome, bool) {
	return func(o store.Outcome, ok bool) {
		if ok && o.Code == 202 {
			// Why held: until the peer's log says so, its runs may start.
			c.offs[id] = append(c.offs[id], r)
			return
		}
		outcome(r)(o, ok)
	}
}

// settleOffs answers those whose job is over by now.
func (c *Core) settleOffs() {
	for id, rs := range c.offs {
		j := c.st.Jobs[id]
		if c.led && j != nil && j.EndedAt == 0 {
			continue
		}
		for _, r := range rs {
			if c.led {
				r(member.Answer{Code: 200})
			} else {
				r(member.Answer{Code: member.Unclear})
			}
		}
		delete(c.offs, id)
	}
}

// bucket is that of now in the record of demand, 0 while moving is off.
func (c *Core) bucket() int64 {
	if c.moves == nil {
		return 0
	}
	return c.moves.BucketOf(c.st.Wall)
}
