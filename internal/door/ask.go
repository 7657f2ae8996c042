package door

import (
	"context"
	"sync/atomic"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// contact remembers when the leader was last known to be in reach, on the
// process's steady clock: steps of the time of day don't move it. Safe for
// concurrent use.
type contact struct {
	start time.Time
	since atomic.Int64 // nanoseconds from start, plus 1; 0: never
}

func newContact() *contact { return &contact{start: time.Now()} }

// heard notes that the leader answered a call that began at a time. Why not the
// time of the answer: after a freeze it may have lain here for as long.
func (c *contact) heard(begun time.Time) {
	at := int64(begun.Sub(c.start)) + 1
	for old := c.since.Load(); at > old; old = c.since.Load() {
		if c.since.CompareAndSwap(old, at) {
			return
		}
	}
}

// within tells whether the leader was in reach at most so long ago.
func (c *contact) within(most time.Duration) bool {
	at := c.since.Load()
	return at > 0 && time.Since(c.start)-time.Duration(at-1) < most
}

// Ask takes an ask to the leader and notes what the answer says of it.
func (e *Edge) Ask(ctx context.Context, kind string, body any) member.Answer {
	begun := time.Now()
	a := e.route(ctx, member.Ask{Kind: kind, Body: transport.Encode(body)})
	if a.Code >= 100 {
		e.contact.heard(begun)
	}
	if a.Desired != 0 {
		e.onNews(a.Desired)
	}
	return a
}

// toLeader asks this process's own core, if it has one, and whoever leads else.
func (e *Edge) toLeader(ctx context.Context, a member.Ask) member.Answer {
	if e.core == nil {
		return e.seek.AskRaw(ctx, a)
	}
	return askBoth(ctx, a, e.core.Handle, e.seek.AskRaw)
}

// askBoth asks the own core first and then the leader elsewhere. If the own
// core may have put the ask into its log, no later answer says that it was
// surely not taken.
func askBoth(ctx context.Context, a member.Ask, own func(member.Ask, func(member.Answer)), leader func(context.Context, member.Ask) member.Answer) member.Answer {
	got := make(chan member.Answer, 1)
	own(a, func(r member.Answer) {
		select {
		case got <- r:
		default:
		}
	})
	t := time.NewTimer(tune.AskRound)
	defer t.Stop()
	perhaps := true
	select {
	case r := <-got:
		if r.Code != member.NotLead && r.Code != member.Unclear {
			return r
		}
		perhaps = r.Code == member.Unclear
	case <-t.C:
	case <-ctx.Done():
		return member.Answer{Code: member.Lost}
	}
	r := leader(ctx, a)
	if perhaps && r.Code == member.NoLeader {
		r.Code = member.Lost
	}
	return r
}
