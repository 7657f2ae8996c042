package core

import (
	"context"

	"tealpond/internal/federation"
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/store"
	"tealpond/internal/transport"
)

// SetMoves turns moving on.
func (c *Core) SetMoves(s federation.Settings) { c.peering = &s }

// FederationWork shows the mover what there is to do.
func (c *Core) FederationWork(ctx context.Context) federation.PendingWork {
	var w federation.PendingWork
	if a, ok := c.own(ctx, rpc.KindFederationWork, nil); ok {
		_ = transport.Decode(a.Body, &w)
	}
	return w
}

// Propose puts a command of the mover's into the log.
func (c *Core) Propose(ctx context.Context, kind string, cmd store.Cmd) (store.Outcome, bool) {
	a, ok := c.own(ctx, rpc.KindPropose, transport.Encode(store.Encode(kind, cmd)))
	return store.Outcome{Code: a.Code, Text: a.Text, N: a.Value}, ok && a.Code >= 100
}

// own sends a request to the loop of this process.
func (c *Core) own(ctx context.Context, kind string, body []byte) (rpc.Response, bool) {
	got := make(chan rpc.Response, 1)
	select {
	case c.events <- Event{Own: &Local{Ask: rpc.Request{Kind: kind, Body: body}, Reply: func(a rpc.Response) {
		select {
		case got <- a:
		default:
		}
	}}}:
	case <-ctx.Done():
		return rpc.Response{}, false
	}
	select {
	case a := <-got:
		return a, true
	case <-ctx.Done():
		return rpc.Response{}, false
	}
}

// onOwn answers the mover of this process; streams can't reach it.
func (c *Core) onOwn(l *Local) {
	if c.node == nil || !c.node.LeaderReady() || !c.leading || c.peering == nil {
		l.Reply(rpc.Response{Code: rpc.CodeNotLeader})
		return
	}
	switch l.Ask.Kind {
	case rpc.KindFederationWork:
		l.Reply(rpc.Response{Code: 200, Body: transport.Encode(c.work())})
	case rpc.KindPropose:
		var r store.Raw
		if transport.Decode(l.Ask.Body, &r) != nil {
			l.Reply(rpc.Response{Code: 400})
			return
		}
		c.commands = append(c.commands, r)
		c.replies = append(c.replies, replyOutcome(l.Reply))
	}
}

// work gathers open moves, candidates and the record of demand.
func (c *Core) work() federation.PendingWork {
	state := c.state
	work := federation.PendingWork{IsLeader: true, Epoch: state.Epoch, Index: c.state.Applied, WallMs: state.Wall, Demand: map[int64]float64{}}
	may, there := map[string]bool{}, map[string]string{}
	services := map[string]bool{}
	for _, l := range c.peering.Routes {
		may[l.LocalRoute] = true
		there[l.LocalRoute] = l.PeerRoute
		if x := state.Lanes[l.LocalRoute]; x != nil {
			services[x.TargetService] = true
		}
	}
	for _, job := range state.Open() {
		if job.Away() {
			work.OpenTransfers = append(work.OpenTransfers, federation.OpenTransfer{JobID: job.ID, Peer: job.Move.Peer, OfferNumber: job.Move.No, State: job.Move.State, CancelRequested: job.Move.Cancel, Route: there[job.Lane],
				Job: protocol.Job{Spec: job.Spec, Steps: job.Steps}})
			continue
		}
		if may[job.Lane] && !job.Began && job.RunTimes == 0 && !job.Move.Guest && !lasts(job) {
			cpu := int64(0)
			for _, step := range job.Steps {
				cpu = max(cpu, step.CPUUnits*int64(step.TaskCount))
			}
			work.Candidates = append(work.Candidates, federation.Candidate{JobID: job.ID, Route: job.Lane, Priority: job.Priority, MilliCPU: cpu, Offers: job.Move.Rounds})
		}
	}
	if len(services) == 0 {
		for n := range state.Services {
			services[n] = true
		}
	}
	for _, job := range state.Jobs {
		if job.EndedAt != 0 && job.Away() && job.Move.State == store.MoveTaken {
			work.OpenTransfers = append(work.OpenTransfers, federation.OpenTransfer{JobID: job.ID, Peer: job.Move.Peer, OfferNumber: job.Move.No, State: job.Move.State, Finished: true})
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
		work.CapacityMilliCPU += room.CPU
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
		reply(rpc.Response{Code: 404, Text: "moving is off"})
		return
	}
	q, why := c.peering.Verify(raw)
	if why != "" {
		_ = c.log.Log("level", "warn", "event", "peer.refused", "why", why)
		reply(rpc.Response{Code: 403, Text: why})
		return
	}
	say := func(word string, n int64) {
		reply(rpc.Response{Code: 200, Body: transport.Encode(federation.Response{Status: word, Epoch: c.state.Epoch, Index: c.state.Applied, MilliCPU: n})})
	}
	settled := func(outcome store.Outcome, ok bool) {
		if !ok {
			reply(rpc.Response{Code: rpc.CodeLeadershipLost})
			return
		}
		// A job that was taken is looked up again: it may have ended since.
		word := outcome.Text
		if job := c.state.Jobs[q.JobID]; word == "taken" && job != nil {
			word = store.GuestWord(job)
		}
		say(word, outcome.N)
	}
	switch q.Kind {
	case federation.CallLoan:
		w := c.work()
		spare := c.peering.LendableMilliCPU(w)
		if c.peering.Crowded(w) || spare < q.MilliCPU {
			say("crowded", spare)
			return
		}
		service := c.lendService()
		slice := max(w.CapacityMilliCPU/64, 1)
		c.add("lend", &store.Lend{ID: q.Loan, Peer: q.From, Service: service, CPU: spare, Least: q.MilliCPU, For: q.DurationMs, Slice: slice, Slices: int(c.peering.LendShare * 64)}, func(outcome store.Outcome, ok bool) {
			if !ok {
				reply(rpc.Response{Code: rpc.CodeLeadershipLost})
				return
			}
			word := "lent"
			if outcome.Code != 200 {
				word = "full"
			}
			say(word, outcome.N)
		})
	case federation.CallOffer:
		c.add("accept", &store.Accept{Peer: q.From, No: q.OfferNumber, ID: q.JobID, Lane: q.Route, Loan: q.Loan, Job: q.Job}, settled)
	case federation.CallRelease:
		c.add("release", &store.Release{Peer: q.From, No: q.OfferNumber, ID: q.JobID}, settled)
	case federation.CallVoidOffer:
		c.add("void", &store.Void{Peer: q.From, No: q.OfferNumber, ID: q.JobID, Cancel: q.Cancel}, settled)
	default:
		reply(rpc.Response{Code: 400, Text: "unknown call"})
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
				reply(rpc.Response{Code: 200})
			} else {
				reply(rpc.Response{Code: rpc.CodeLeadershipLost})
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
