// Package agg batches the requests of the side daemons of a zone for the leader.
// It is a pure state machine: requests and answers go in, batches for the leader
// and answers for the side daemons come out. It acknowledges nothing by itself
// and holds no state that may not be lost: a side daemon without an answer asks
// again, elsewhere.
package agg

import (
	"sort"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// Reply carries the answer back to one side daemon; it is called once.
type Reply = func(member.Answer)

// Batch is one message to the leader, with either Grants or Many; No is handed
// back with its answer.
type Batch struct {
	No     uint64
	Grants *member.Grants
	Many   *member.Many
}

// grant is a renewal of a lease that waits for its batch.
type grant struct {
	request member.Renew
	reply   Reply
}

// call is any other request that waits for its batch.
type call struct {
	ask   member.Ask
	reply Reply
}

// Agg is the aggregator of one zone. It isn't safe for concurrent use.
type Agg struct {
	from string // the disk of this aggregator, by which the leader knows it

	grants       map[string]grant
	grantsSince  time.Time // when the first of them came
	set          []member.Seat
	setNumber    uint64
	leaderHasSet bool             // the leader is known to hold this set
	missed       map[string]int   // batches in a row without this member
	ratios       map[string]int64 // as the leader was told them

	calls       []call
	callsSentAt time.Time // when the last batch of calls was sent

	lastBatch      uint64
	grantsInFlight map[uint64]sentGrants
	callsInFlight  map[uint64][]call
}

// sentGrants is a batch of renewals that is not answered yet.
type sentGrants struct {
	set  []member.Seat
	asks map[string]grant
}

// New builds an aggregator for the core daemon with the disk from.
func New(from string) *Agg {
	return &Agg{from: from, grants: map[string]grant{}, missed: map[string]int{}, ratios: map[string]int64{}, grantsInFlight: map[uint64]sentGrants{}, callsInFlight: map[uint64][]call{}}
}

// Renew takes the renewal of a lease. A second one of the same worker takes the
// place of the first: its clock was read later.
func (a *Agg) Renew(request member.Renew, reply Reply, now time.Time) {
	if len(a.grants) == 0 {
		a.grantsSince = now
	}
	if old, ok := a.grants[request.Worker]; ok {
		// Answered at once, since it will be in no batch.
		old.reply(member.Answer{Code: member.NotLead})
	}
	a.grants[request.Worker] = grant{request, reply}
}

// Call takes any other request; false if too many wait already.
func (a *Agg) Call(ask member.Ask, reply Reply) bool {
	if len(a.calls) >= tune.AggInbox {
		// The new one is refused: older ones hold ends that jobs wait for, and
		// its client tries again.
		return false
	}
	a.calls = append(a.calls, call{ask, reply})
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
		if left := tune.AggGrants - now.Sub(a.grantsSince); left > 0 {
			soon(left)
		} else {
			out = append(out, a.grantBatch())
		}
	}
	if len(a.calls) > 0 {
		if left := tune.AggCalls - now.Sub(a.callsSentAt); left > 0 {
			soon(left)
		} else {
			a.callsSentAt = now
			out = append(out, a.callBatch())
		}
	}
	return out, wake
}

// callBatch takes all waiting calls into a batch.
func (a *Agg) callBatch() Batch {
	a.lastBatch++
	many := &member.Many{}
	for _, waiting := range a.calls {
		many.Asks = append(many.Asks, waiting.ask)
	}
	a.callsInFlight[a.lastBatch] = a.calls
	a.calls = nil
	return Batch{No: a.lastBatch, Many: many}
}

// grantBatch names the steady members by the number of their set and tells by
// one bit each who asks this time.
func (a *Agg) grantBatch() Batch {
	matching := 0
	for _, seat := range a.set {
		if waiting, ok := a.grants[seat.Worker]; ok && waiting.request.Fence == seat.Fence {
			matching++
			a.missed[seat.Worker] = 0
		} else {
			a.missed[seat.Worker]++
		}
	}
	if matching < len(a.grants) {
		a.renumber()
	}
	grants := &member.Grants{From: a.from, Set: a.setNumber, In: make([]byte, (len(a.set)+7)/8)}
	if !a.leaderHasSet {
		grants.Whole, a.ratios = a.set, map[string]int64{}
	}
	for i, seat := range a.set {
		waiting, ok := a.grants[seat.Worker]
		if !ok || waiting.request.Fence != seat.Fence {
			continue
		}
		grants.In[i>>3] |= 1 << (i & 7)
		// Changes of under a tenth are not reported: the scheduler uses rough
		// values.
		if d := waiting.request.Ratio - a.ratios[seat.Worker]; d*d*100 > waiting.request.Ratio*waiting.request.Ratio {
			a.ratios[seat.Worker] = waiting.request.Ratio
			grants.Ratios = append(grants.Ratios, member.Ratio{Seat: i, Value: waiting.request.Ratio})
		}
	}
	a.lastBatch++
	a.grantsInFlight[a.lastBatch] = sentGrants{a.set, a.grants}
	a.grants = map[string]grant{}
	return Batch{No: a.lastBatch, Grants: grants}
}

// renumber makes a new set: those who ask now, and those of the old set who
// asked lately.
func (a *Agg) renumber() {
	var set []member.Seat
	missed := map[string]int{}
	for worker, waiting := range a.grants {
		set = append(set, member.Seat{Worker: worker, Fence: waiting.request.Fence})
	}
	for _, seat := range a.set {
		if _, ok := a.grants[seat.Worker]; !ok && a.missed[seat.Worker] < tune.AggMissed {
			set = append(set, seat)
			missed[seat.Worker] = a.missed[seat.Worker]
		}
	}
	sort.Slice(set, func(x, y int) bool { return set[x].Worker < set[y].Worker })
	a.set, a.leaderHasSet, a.missed = set, false, missed
	a.setNumber++
}

// Granted takes the leader's answer to a batch of grants: code 428 wants the
// set named whole, in the next batch.
func (a *Agg) Granted(number uint64, answer member.Answer, odd []member.Odd, now time.Time) {
	sent, ok := a.grantsInFlight[number]
	if !ok {
		return
	}
	delete(a.grantsInFlight, number)
	if answer.Code == 428 {
		a.leaderHasSet = false
		for worker, waiting := range sent.asks {
			// They go into the next batch: their clocks were read before this
			// answer, so a later grant is still counted from an earlier time.
			if _, ok := a.grants[worker]; !ok {
				a.grants[worker] = waiting
				a.grantsSince = now.Add(-tune.AggGrants)
			} else {
				waiting.reply(member.Answer{Code: member.NotLead})
			}
		}
		return
	}
	if answer.Code == 200 {
		a.leaderHasSet = a.leaderHasSet || sameSet(sent.set, a.set)
	}
	codes := map[string]int{}
	for _, refusal := range odd {
		if refusal.Seat >= 0 && refusal.Seat < len(sent.set) {
			codes[sent.set[refusal.Seat].Worker] = refusal.Code
		}
	}
	for worker, waiting := range sent.asks {
		own := answer
		own.Body = nil
		if code := codes[worker]; code != 0 && answer.Code == 200 {
			own.Code = code
		}
		waiting.reply(own)
	}
}

// sameSet tells whether two slices are the same set, not merely equal ones.
func sameSet(x, y []member.Seat) bool {
	return len(x) == len(y) && (len(x) == 0 || &x[0] == &y[0])
}

// Called takes the leader's answers to a batch of other requests, in their order;
// if there are too few, the rest get the answer to the whole batch.
func (a *Agg) Called(number uint64, answer member.Answer, each []member.Answer) {
	calls := a.callsInFlight[number]
	delete(a.callsInFlight, number)
	for i, waiting := range calls {
		own := answer
		own.Body = nil
		if i < len(each) {
			own = each[i]
			own.At, own.Desired = answer.At, answer.Desired
		} else if answer.Code == 200 {
			own.Code = member.Unclear
		}
		waiting.reply(own)
	}
}

// Drop answers all that wait: this daemon can't aggregate for its zone any more.
func (a *Agg) Drop(answer member.Answer) {
	for _, pending := range a.Flush() {
		pending.Reply(answer)
	}
}

// Waits counts what is not yet answered.
func (a *Agg) Waits() int {
	return len(a.grants) + len(a.calls) + len(a.grantsInFlight) + len(a.callsInFlight)
}

// Pending is a request that was not sent to the leader.
type Pending struct {
	Ask   member.Ask
	Reply Reply
}

// Flush hands out what was not sent: this daemon leads now, and answers it.
func (a *Agg) Flush() []Pending {
	var out []Pending
	for _, waiting := range a.grants {
		out = append(out, Pending{member.Ask{Kind: member.AskRenew, Body: transport.Encode(&waiting.request)}, waiting.reply})
	}
	for _, waiting := range a.calls {
		out = append(out, Pending{waiting.ask, waiting.reply})
	}
	a.grants, a.calls, a.leaderHasSet = map[string]grant{}, nil, false
	return out
}
