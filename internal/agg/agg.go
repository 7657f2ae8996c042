// Package agg sums up what the side daemons of a zone report, close to where
// it comes from. It is a pure machine: reports and answers go in, batches for
// the leader and answers for the side daemons come out. It acknowledges
// nothing by itself and holds nothing that would be missed: whoever gets no
// answer asks again, elsewhere.
package agg

import (
	"sort"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/tune"
)

// Reply carries an answer back to one side daemon.
type Reply = func(member.Answer)

// Batch is one message to the leader; No is handed back with its answer.
type Batch struct {
	No     uint64
	Grants *member.Grants
	Many   *member.Many
}

// grant is one ask for a grant that waits for its batch.
type grant struct {
	m member.Renew
	r Reply
}

// call is any other ask that waits for its batch.
type call struct {
	a member.Ask
	r Reply
}

// Agg is the state of one zone's sums. It isn't safe for several tasks.
type Agg struct {
	from string // who sums, as the leader knows it

	grants map[string]grant
	since  time.Time // when the first of them came
	set    []member.Seat
	setNo  uint64
	told   bool             // the leader is known to hold this set
	missed map[string]int   // batches in a row without this member
	ratios map[string]int64 // as the leader was told them

	calls []call
	sent  time.Time // when calls went up last

	next    uint64
	granted map[uint64]sentGrants
	called  map[uint64][]call
}

type sentGrants struct {
	set  []member.Seat
	asks map[string]grant
}

// New builds an aggregator that speaks as from.
func New(from string) *Agg {
	return &Agg{from: from, grants: map[string]grant{}, missed: map[string]int{}, ratios: map[string]int64{}, granted: map[uint64]sentGrants{}, called: map[uint64][]call{}}
}

// Renew takes an ask for a grant. A second one of the same worker takes the
// place of the first: its clock was read later.
func (a *Agg) Renew(m member.Renew, r Reply, now time.Time) {
	if len(a.grants) == 0 {
		a.since = now
	}
	if old, ok := a.grants[m.Worker]; ok {
		// Why answered: nobody waits for it any more.
		old.r(member.Answer{Code: member.NotLead})
	}
	a.grants[m.Worker] = grant{m, r}
}

// Call takes any other ask; false if too many wait already.
func (a *Agg) Call(ask member.Ask, r Reply) bool {
	if len(a.calls) >= tune.AggInbox {
		// Why the new one: older ones hold ends that jobs wait for, and the
		// asker comes again.
		return false
	}
	a.calls = append(a.calls, call{ask, r})
	return true
}

// Rest gives the batches that are due and when to come back, 0 for never.
func (a *Agg) Rest(now time.Time) ([]Batch, time.Duration) {
	var out []Batch
	wake := time.Duration(0)
	soon := func(d time.Duration) {
		if wake == 0 || d < wake {
			wake = max(d, time.Millisecond)
		}
	}
	if len(a.grants) > 0 {
		if left := tune.AggGrants - now.Sub(a.since); left > 0 {
			soon(left)
		} else {
			out = append(out, a.grantBatch())
		}
	}
	if len(a.calls) > 0 {
		if left := tune.AggCalls - now.Sub(a.sent); left > 0 {
			soon(left)
		} else {
			a.sent = now
			out = append(out, a.callBatch())
		}
	}
	return out, wake
}

func (a *Agg) callBatch() Batch {
	a.next++
	b := &member.Many{}
	for _, c := range a.calls {
		b.Asks = append(b.Asks, c.a)
	}
	a.called[a.next] = a.calls
	a.calls = nil
	return Batch{No: a.next, Many: b}
}

// grantBatch names the steady members by the number of their set and tells by
// one bit each who asks this time.
func (a *Agg) grantBatch() Batch {
	fits := 0
	for _, s := range a.set {
		if g, ok := a.grants[s.Worker]; ok && g.m.Fence == s.Fence {
			fits++
			a.missed[s.Worker] = 0
		} else {
			a.missed[s.Worker]++
		}
	}
	if fits < len(a.grants) {
		a.renumber()
	}
	b := &member.Grants{From: a.from, Set: a.setNo, In: make([]byte, (len(a.set)+7)/8)}
	if !a.told {
		b.Whole, a.ratios = a.set, map[string]int64{}
	}
	for i, s := range a.set {
		g, ok := a.grants[s.Worker]
		if !ok || g.m.Fence != s.Fence {
			continue
		}
		b.In[i>>3] |= 1 << (i & 7)
		// Why not each change: the placer takes it coarsely.
		if d := g.m.Ratio - a.ratios[s.Worker]; d*d*100 > g.m.Ratio*g.m.Ratio {
			a.ratios[s.Worker] = g.m.Ratio
			b.Ratios = append(b.Ratios, member.Ratio{Seat: i, Value: g.m.Ratio})
		}
	}
	a.next++
	a.granted[a.next] = sentGrants{a.set, a.grants}
	a.grants = map[string]grant{}
	return Batch{No: a.next, Grants: b}
}

// renumber makes a new set: those who ask now, and those of the old set who
// asked lately.
func (a *Agg) renumber() {
	var set []member.Seat
	missed := map[string]int{}
	for w, g := range a.grants {
		set = append(set, member.Seat{Worker: w, Fence: g.m.Fence})
	}
	for _, s := range a.set {
		if _, ok := a.grants[s.Worker]; !ok && a.missed[s.Worker] < tune.AggMissed {
			set = append(set, s)
			missed[s.Worker] = a.missed[s.Worker]
		}
	}
	sort.Slice(set, func(x, y int) bool { return set[x].Worker < set[y].Worker })
	a.set, a.told, a.missed = set, false, missed
	a.setNo++
}

// Granted takes the leader's answer to a batch of grants: code 428 wants the
// set named whole, in the next batch.
func (a *Agg) Granted(no uint64, r member.Answer, odd []member.Odd, now time.Time) {
	s, ok := a.granted[no]
	if !ok {
		return
	}
	delete(a.granted, no)
	if r.Code == 428 {
		a.told = false
		for w, g := range s.asks {
			// Why taken up again: they were read before this answer, so what
			// they are granted later is still counted from an earlier time.
			if _, ok := a.grants[w]; !ok {
				a.grants[w] = g
				a.since = now.Add(-tune.AggGrants)
			} else {
				g.r(member.Answer{Code: member.NotLead})
			}
		}
		return
	}
	if r.Code == 200 {
		a.told = a.told || sameSet(s.set, a.set)
	}
	by := map[string]int{}
	for _, o := range odd {
		if o.Seat >= 0 && o.Seat < len(s.set) {
			by[s.set[o.Seat].Worker] = o.Code
		}
	}
	for w, g := range s.asks {
		x := r
		x.Body = nil
		if c := by[w]; c != 0 && r.Code == 200 {
			x.Code = c
		}
		g.r(x)
	}
}

func sameSet(x, y []member.Seat) bool {
	return len(x) == len(y) && (len(x) == 0 || &x[0] == &y[0])
}

// Called takes the leader's answers to a batch of other asks, in their order;
// with too few of them the rest get the whole batch's own.
func (a *Agg) Called(no uint64, r member.Answer, each []member.Answer) {
	cs := a.called[no]
	delete(a.called, no)
	for i, c := range cs {
		x := r
		x.Body = nil
		if i < len(each) {
			x = each[i]
			x.At, x.Desired = r.At, r.Desired
		} else if r.Code == 200 {
			x.Code = member.Unclear
		}
		c.r(x)
	}
}

// Drop answers all that wait: this daemon can't speak for its zone any more.
func (a *Agg) Drop(r member.Answer) {
	for _, p := range a.Flush() {
		p.Reply(r)
	}
}

// Waits counts what is not yet answered.
func (a *Agg) Waits() int { return len(a.grants) + len(a.calls) + len(a.granted) + len(a.called) }

// Pending is an ask that has not gone up.
type Pending struct {
	Ask   member.Ask
	Reply Reply
}

// Flush hands out what has not gone up: this daemon leads now, and answers it.
func (a *Agg) Flush() []Pending {
	var out []Pending
	for _, g := range a.grants {
		out = append(out, Pending{member.Ask{Kind: member.AskRenew, Body: link.Pack(&g.m)}, g.r})
	}
	for _, c := range a.calls {
		out = append(out, Pending{c.a, c.r})
	}
	a.grants, a.calls, a.told = map[string]grant{}, nil, false
	return out
}
