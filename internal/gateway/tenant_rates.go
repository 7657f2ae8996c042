package gateway

import (
	"context"
	"sync"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/counter"
)

const (
	// rateAllowanceTime is the time for which a tenant's rate may run ahead of the leader at
	// one gateway, of which there may be many.
	rateAllowanceTime = 250 * time.Millisecond
	// minRateAllowance and maxRateAllowance limit how far a tenant may run ahead of the leader
	// at one gateway, in requests.
	minRateAllowance = 2.0
	maxRateAllowance = 8.0
	// rateSumsWait is how long a request waits for the leader's response once the allowance is
	// used up, and the minimum Retry-After.
	rateSumsWait = 150 * time.Millisecond
	// exactRateFraction is the fraction of a tenant's limit from which requests are admitted
	// only by sums that are at most maxRateSumsAge old.
	exactRateFraction = 0.5
	maxRateSumsAge    = 100 * time.Millisecond
	// maxIdleRateSumsAge is the maximum age of the sums by which a request is admitted below
	// exactRateFraction: two exchanges.
	maxIdleRateSumsAge = time.Second
)

// TenantRates decides for each request whether its tenant is within its rate over all daemons
// together. It uses its own counts and the sums of the other daemons', received in exchanges
// with the leader. The number of requests admitted here that the others do not know about yet
// is limited (counter.Exchange.Admit). It is safe for concurrent use.
type TenantRates struct {
	window time.Duration
	urgent chan struct{} // signals that an exchange is needed immediately

	mu        sync.Mutex
	counts    *counter.Set
	exchange  *counter.Exchange
	responded chan struct{} // closed with the next response
	inUse     bool          // a request of a tenant with a rate limit has arrived
	// sumsAsOf is the send time of the last request that the leader answered.
	sumsAsOf, requestedAt time.Time
}

func newTenantRates(processID string, window time.Duration, now time.Time) *TenantRates {
	counts := counter.NewSet(processID, window, counter.SlotWidth, now)
	exchange := counter.NewExchange(counts)
	exchange.ReplacesPeerSums = true
	return &TenantRates{
		window:    window,
		urgent:    make(chan struct{}, 1),
		counts:    counts,
		exchange:  exchange,
		responded: make(chan struct{}),
	}
}

// admit counts a request of a tenant if the tenant is within its rate; otherwise it returns
// the time after which the tenant may retry. The request first waits briefly for the leader's
// response if the sums are too old (near the limit, a lower age counts), or if too many requests
// were admitted here that the leader does not know about; see awaitedResponse.
func (r *TenantRates) admit(ctx context.Context, tenant *clusterconfig.Tenant) (retryAfter time.Duration, ok bool) {
	limit := uint64(max(tenant.RatePerS*r.window.Seconds()+tenant.Burst, 1))
	allowance := rateAllowance(tenant.RatePerS)
	if responded := r.awaitedResponse(tenant.Name, limit, allowance, time.Now()); responded != nil {
		timer := time.NewTimer(rateSumsWait)
		defer timer.Stop()
		select {
		case <-responded:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exchange.Admit(tenant.Name, limit, allowance, now) {
		if nearLimit(r.counts.Sum(tenant.Name, now), limit) || r.exchange.Unacknowledged(tenant.Name)*2 >= allowance {
			r.requestExchange() // so that the other daemons learn of it
		}
		return 0, true
	}
	return max(r.counts.FreeAt(tenant.Name, limit, now).Sub(now), rateSumsWait), false
}

// awaitedResponse returns a channel closed with the leader's next response if a request must
// wait for it, and nil otherwise. A request must wait if the sums are old, or near the limit
// and not fresh, or if the allowance is used up. It need not wait once the sum has reached the
// limit, since the sum only falls with time.
func (r *TenantRates) awaitedResponse(tenant string, limit, allowance uint64, now time.Time) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.inUse {
		r.inUse = true
		r.requestExchange()
	}
	sum := r.counts.Sum(tenant, now)
	maxAge := maxIdleRateSumsAge
	if nearLimit(sum, limit) {
		maxAge = maxRateSumsAge
	}
	if sum >= limit || now.Sub(r.sumsAsOf) <= maxAge && r.exchange.Unacknowledged(tenant) < allowance {
		return nil
	}
	r.requestExchange()
	return r.responded
}

// nearLimit reports whether a tenant's sum of requests is close to its limit.
func nearLimit(sum, limit uint64) bool { return float64(sum) >= exactRateFraction*float64(limit) }

// requestExchange asks for an exchange of counts with the leader as soon as possible.
func (r *TenantRates) requestExchange() {
	select {
	case r.urgent <- struct{}{}:
	default: // already requested
	}
}

// rateAllowance returns how many requests of a tenant a daemon admits before the leader knows
// of them. At half of it the daemon requests an immediate exchange, so that a tenant whose
// clients all use one daemon is delayed only by the round trip to the leader.
func rateAllowance(ratePerS float64) uint64 {
	return uint64(min(max(ratePerS*rateAllowanceTime.Seconds(), minRateAllowance), maxRateAllowance))
}

// Urgent returns a channel that receives a value when an exchange is needed immediately.
func (r *TenantRates) Urgent() <-chan struct{} { return r.urgent }

// NextRequest returns the next request to the leader, or false if none is needed because there
// are no counts, here or from other daemons, and no tenant with a rate limit was seen.
func (r *TenantRates) NextRequest(now, lastAt time.Time) (counter.Request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Expire(now)
	if r.counts.Len() == 0 && !r.inUse {
		return counter.Request{}, false
	}
	r.requestedAt = now
	return r.exchange.Request(now), true
}

// HandleResponse applies the leader's response and releases the requests waiting for it.
func (r *TenantRates) HandleResponse(response counter.Response, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchange.HandleResponse(response, now)
	r.sumsAsOf = r.requestedAt
	close(r.responded)
	r.responded = make(chan struct{})
}
