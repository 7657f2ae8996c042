package federation

import (
	"context"
	"fmt"
	"sort"
	"time"

	"tealpond/internal/state"
)

const (
	// maxWaitingJobs is how many jobs may wait for others to leave the room that a
	// peer has lent.
	maxWaitingJobs = 8
	// loanRetriesPerBucket is how many loan requests a peer that refuses gets in a
	// bucket of time.
	loanRetriesPerBucket = 4
	// loanMarginDivisor is the part of a loan's time, one tenth, that is left unused.
	loanMarginDivisor = 10
)

// offerJobs offers jobs to peers, the least urgent first, while a crowd is foreseen.
func (o *Offloader) offerJobs(ctx context.Context, work PendingWork) {
	if len(work.Candidates) == 0 || !o.settings.Crowded(work) || time.Now().Before(o.backoffUntil) {
		return
	}
	sort.SliceStable(work.Candidates, func(a, b int) bool { return work.Candidates[a].Priority > work.Candidates[b].Priority })
	offered := 0
	for _, candidate := range work.Candidates {
		route := o.route(candidate.Route)
		// A job is offered once, so that it does not go back and forth.
		if route == nil || candidate.Offers > 0 || offered >= o.settings.MaxOffers {
			continue
		}
		lent, ok := o.borrow(ctx, work, route.Peer, candidate.MilliCPU)
		if !ok {
			return
		}
		lent.remainingMilliCPU -= candidate.MilliCPU
		o.loans[route.Peer] = lent
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		outcome, ok := o.local.Propose(callCtx, state.CommandOfferJob, &state.OfferJob{Job: candidate.JobID, Peer: route.Peer})
		cancel()
		if ok && outcome.Code == state.CodeOK {
			offered++
			_ = o.log.Log("level", "info", "event", "transfer.offered", "job", candidate.JobID, "peer", route.Peer, "offer", outcome.Value)
		}
	}
}

// borrow returns the loan of a peer, a new one unless some room of the last is left;
// false if there is none.
func (o *Offloader) borrow(ctx context.Context, work PendingWork, peer string, milliCPU int64) (loan, bool) {
	lent := o.loans[peer]
	if time.Now().Before(lent.expiresAt) {
		// More jobs are offered than fit at a time: they run one after another.
		return lent, lent.remainingMilliCPU > -maxWaitingJobs*max(milliCPU, 1)
	}
	id := fmt.Sprintf("%s/%s/%d", o.settings.Name, work.Epoch, work.Index)
	response, ok := o.call(ctx, peer, Call{
		Kind:       CallLoan,
		Loan:       id,
		MilliCPU:   max(milliCPU, 1),
		DurationMs: int64(o.settings.LoanS * msPerSecond),
	})
	if !ok || response.Status != StatusLent {
		o.backoffUntil = time.Now().Add(seconds(o.settings.BucketS) / loanRetriesPerBucket)
		_ = o.log.Log("level", "info", "event", "loan.refused", "peer", peer, "status", response.Status)
		return loan{}, false
	}
	// It ends sooner here, since offers must arrive while it is still valid.
	duration := seconds(o.settings.LoanS)
	lent = loan{id: id, remainingMilliCPU: response.MilliCPU, expiresAt: time.Now().Add(duration - duration/loanMarginDivisor)}
	o.loans[peer] = lent
	_ = o.log.Log("level", "info", "event", "loan.received", "peer", peer, "milli_cpu", response.MilliCPU, "loan", id)
	return lent, true
}

// route finds a route that may move by its name in this cluster; nil if it may not.
func (o *Offloader) route(local string) *Route {
	for i := range o.settings.Routes {
		if o.settings.Routes[i].LocalRoute == local {
			return &o.settings.Routes[i]
		}
	}
	return nil
}
