package gateway

import (
	"context"
	"sync"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/counter"
)

const (
	// rateAllowanceTime is for how long of its rate a tenant may run ahead at one gateway, of which
	// there may be many.
	rateAllowanceTime = 250 * time.Millisecond
	// minRateAllowance and maxRateAllowance bound how far a tenant's rate may run ahead at one
	// gateway, in requests.
	minRateAllowance = 2.0
	maxRateAllowance = 8.0
	// rateSumsWait is how long a request waits for the leader's answer once the allowance is used up,
	// and the least time after which a client may come again.
	rateSumsWait = 150 * time.Millisecond
	// exactRateFraction is the part of a tenant's limit from which on a request is admitted by sums that
	// are at most maxRateSumsAge old.
	exactRateFraction = 0.5
	maxRateSumsAge    = 100 * time.Millisecond
	// maxIdleRateSumsAge is the age of the sums by which a request is admitted below
	// exactRateFraction: two exchanges.
	maxIdleRateSumsAge = time.Second
)

// TenantRates tells, of each request, whether its tenant is within its rate over all
// daemons together. It decides by its own counts and the sums of the others', which it has
// from its exchanges with the leader; what the others don't know yet of what was admitted
// here is bounded (counter.Exchange.Admit). It is safe for concurrent use.
type TenantRates struct {
	window time.Duration
	urgent chan struct{} // an exchange is wanted at once

	mu       sync.Mutex
	counts   *counter.Set
	exchange *counter.Exchange
	answered chan struct{} // closed with the next response
	inUse    bool          // a request of a tenant with a rate has come
	// answeredAt is when the request to the leader was made that it answered last.
	answeredAt, askedAt time.Time
}

func newTenantRates(processID string, window time.Duration, now time.Time) *TenantRates {
	counts := counter.NewSet(processID, window, counter.SlotWidth, now)
	exchange := counter.NewExchange(counts)
	exchange.ForgetsPeers = true
	return &TenantRates{
		window:   window,
		urgent:   make(chan struct{}, 1),
		counts:   counts,
		exchange: exchange,
		answered: make(chan struct{}),
	}
}

// admit counts a request of a tenant if it is within the tenant's rate; else it gives the
// time after which the tenant may come again. Near the limit, or where too much was admitted
// here of which the leader hasn't heard, the request waits for a moment for the leader's
// answer.
func (r *TenantRates) admit(ctx context.Context, tenant *clusterconfig.Tenant) (retryAfter time.Duration, ok bool) {
	limit := uint64(max(tenant.RatePerS*r.window.Seconds()+tenant.Burst, 1))
	allowance := rateAllowance(tenant.RatePerS)
	if answered := r.needsAnswer(tenant.Name, limit, allowance, time.Now()); answered != nil {
		timer := time.NewTimer(rateSumsWait)
		defer timer.Stop()
		select {
		case <-answered:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exchange.Admit(tenant.Name, limit, allowance, now) {
		if nearLimit(r.counts.Sum(tenant.Name, now), limit) || r.exchange.Ahead(tenant.Name)*2 >= allowance {
			r.askSoon() // the others must hear of it
		}
		return 0, true
	}
	return max(r.counts.FreeAt(tenant.Name, limit, now).Sub(now), rateSumsWait), false
}

// needsAnswer reports whether a request must wait for the leader's next answer, which closes
// the channel that is given; nil if not. So it is where what is known here is old, or comes
// near the limit and isn't fresh, or the allowance is used up. Nothing is waited for once the sum is
// known to have reached the limit: that only falls with time.
func (r *TenantRates) needsAnswer(tenant string, limit, allowance uint64, now time.Time) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.inUse {
		r.inUse = true
		r.askSoon()
	}
	sum := r.counts.Sum(tenant, now)
	most := maxIdleRateSumsAge
	if nearLimit(sum, limit) {
		most = maxRateSumsAge
	}
	if sum >= limit || now.Sub(r.answeredAt) <= most && r.exchange.Ahead(tenant) < allowance {
		return nil
	}
	r.askSoon()
	return r.answered
}

// nearLimit reports whether a tenant's sum of requests comes near its limit.
func nearLimit(sum, limit uint64) bool { return float64(sum) >= exactRateFraction*float64(limit) }

// askSoon has counts exchanged with the leader as soon as may be.
func (r *TenantRates) askSoon() {
	select {
	case r.urgent <- struct{}{}:
	default: // it is wanted already
	}
}

// rateAllowance is how many requests of a tenant a daemon admits ahead of the leader's
// knowledge. Half of it has the daemon ask at once, so that a tenant whose clients all come
// to one daemon is held back by the way to the leader only.
func rateAllowance(ratePerS float64) uint64 {
	return uint64(min(max(ratePerS*rateAllowanceTime.Seconds(), minRateAllowance), maxRateAllowance))
}

// Urgent returns a value when an exchange is wanted at once.
func (r *TenantRates) Urgent() <-chan struct{} { return r.urgent }

// NextRequest makes the next request to the leader; false if there is no need of one:
// nothing is new here, and nothing of others is known.
func (r *TenantRates) NextRequest(now, lastAt time.Time) (counter.Request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Expire(now)
	if r.counts.Len() == 0 && !r.inUse {
		return counter.Request{}, false
	}
	r.askedAt = now
	return r.exchange.Request(now), true
}

// HandleResponse takes the leader's answer, and lets the requests go on that wait for it.
func (r *TenantRates) HandleResponse(response counter.Response, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchange.HandleResponse(response, now)
	r.answeredAt = r.askedAt
	close(r.answered)
	r.answered = make(chan struct{})
}
