package federation

import (
	"context"
	"fmt"
	"sort"
	"time"

	"tealpond/internal/state"
)

const (
	// maxWaitingJobs is how many offered jobs may wait for others to free the capacity that a peer
	// has lent.
	maxWaitingJobs = 8
	// loanRetriesPerBucket is how many loan requests are sent per time bucket while they are refused.
	loanRetriesPerBucket = 4
	// loanMarginDivisor sets the part of a loan's duration, one tenth, that is left unused.
	loanMarginDivisor = 10
)

// offerJobs offers jobs to peers, the least urgent first, while an overload is forecast.
func (o *Offloader) offerJobs(ctx context.Context, work PendingWork) {
	if len(work.Candidates) == 0 || !o.settings.ForecastsOverload(work) || time.Now().Before(o.backoffUntil) {
		return
	}
	sort.SliceStable(work.Candidates, func(a, b int) bool { return work.Candidates[a].Priority > work.Candidates[b].Priority })
	offered := 0
	for _, candidate := range work.Candidates {
		route := o.route(candidate.Route)
		// A job is offered once only, so that it isn't transferred back and forth.
		if route == nil || candidate.Offers > 0 || offered >= o.settings.MaxOffers {
			continue
		}
		peerLoan, ok := o.borrow(ctx, work, route.Peer, candidate.MilliCPU)
		if !ok {
			return
		}
		peerLoan.remainingMilliCPU -= candidate.MilliCPU
		o.loans[route.Peer] = peerLoan
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		outcome, ok := o.local.Propose(callCtx, state.CommandOfferJob,
			&state.OfferJob{Job: candidate.JobID, Peer: route.Peer})
		cancel()
		if ok && outcome.Code == state.CodeOK {
			offered++
			_ = o.log.Log("level", "info", "event", "transfer.offered", "job", candidate.JobID,
				"peer", route.Peer, "offer", outcome.Value)
		}
	}
}

// borrow returns the current loan of a peer, or requests a new one if that has expired; false if
// no more jobs fit into the current one, if the peer refused, or if there was no valid answer.
func (o *Offloader) borrow(ctx context.Context, work PendingWork, peer string, milliCPU int64) (loan, bool) {
	peerLoan := o.loans[peer]
	if time.Now().Before(peerLoan.expiresAt) {
		// More jobs may be offered than fit at the same time: they run one after another.
		return peerLoan, peerLoan.remainingMilliCPU > -maxWaitingJobs*max(milliCPU, 1)
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
	// The loan expires earlier here than at the peer, since offers must arrive there while it is valid.
	duration := seconds(o.settings.LoanS)
	peerLoan = loan{
		id:                id,
		remainingMilliCPU: response.MilliCPU,
		expiresAt:         time.Now().Add(duration - duration/loanMarginDivisor),
	}
	o.loans[peer] = peerLoan
	_ = o.log.Log("level", "info", "event", "loan.received", "peer", peer, "milli_cpu", response.MilliCPU, "loan", id)
	return peerLoan, true
}

// route returns the federated route with a local name; nil if that route isn't federated.
func (o *Offloader) route(local string) *Route {
	for i := range o.settings.Routes {
		if o.settings.Routes[i].LocalRoute == local {
			return &o.settings.Routes[i]
		}
	}
	return nil
}
