package api

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/counter"
	"tealpond/internal/daemon"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

const (
	// idleExchangeInterval is the interval between two exchanges while this daemon has nothing new
	// to report.
	idleExchangeInterval = 2 * time.Second
	// countExchangeTimeout limits one exchange.
	countExchangeTimeout = 800 * time.Millisecond
	// shareAllowancePeriod is the time whose share a tenant may use at one daemon ahead of the
	// exchange. It covers the loss of one exchange.
	shareAllowancePeriod = time.Second
)

// tenantShares decides for each job received here whether its tenant is within its share over all
// daemons together. It uses counts merged with those of the other daemons. The error from counts
// that are not merged yet is bounded, see counter.Exchange. It is safe for concurrent use.
type tenantShares struct {
	window time.Duration
	// overrun and slack are the configured tolerance, relative and absolute. A tenant that exceeds
	// its share in a window by no more counts as within it, since tenants with few jobs per second
	// send them in bursts.
	overrun, slack float64

	mu       sync.Mutex
	counts   *counter.Set
	exchange *counter.Exchange
	byKey    map[clusterconfig.KeyDigest]*rpc.TenantShare
	digest   string // of the tenants in byKey
}

func newTenantShares(processID string, window time.Duration, now time.Time) *tenantShares {
	counts := counter.NewSet(processID, window, counter.SlotWidth, now)
	return &tenantShares{window: window, counts: counts, exchange: counter.NewExchange(counts)}
}

// admit counts a job of the tenant that the call's key belongs to, and reports whether it is beyond
// the tenant's share. The leader decides on keys that are unknown here.
func (s *tenantShares) admit(key string, now time.Time) (beyondShare bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tenant := s.byKey[clusterconfig.DigestOf(key)]
	if tenant == nil || tenant.MilliShare <= 0 {
		return false
	}
	limit := uint64(max(float64(tenant.MilliShare)*s.window.Seconds()/millisPerUnit*(1+s.overrun)+s.slack, 1))
	return !s.exchange.Admit(tenant.Name, limit, shareAllowance(tenant.MilliShare), now)
}

// millisPerUnit is the number of thousandths in one.
const millisPerUnit = 1000

// shareAllowance is how many jobs of a tenant may be admitted ahead of the exchange: its share for
// shareAllowancePeriod, and at least two, so that a tenant whose clients all use one daemon is
// served there.
func shareAllowance(milliShare int64) uint64 {
	return uint64(max(float64(milliShare)*shareAllowancePeriod.Seconds()/millisPerUnit, 2))
}

// NextRequest returns the next request to the leader. It returns false if none is due: no tenant is
// known, or there is nothing new and the last request was less than idleExchangeInterval ago.
func (s *tenantShares) NextRequest(now, lastAt time.Time) (counter.Request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Expire(now)
	if len(s.byKey) == 0 || !s.exchange.HasChanges() && now.Sub(lastAt) < idleExchangeInterval {
		return counter.Request{}, false
	}
	return s.exchange.Request(now), true
}

// HandleResponse merges the leader's response.
func (s *tenantShares) HandleResponse(response counter.Response, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchange.HandleResponse(response, now)
}

// knownDigest returns the digest of the tenants known here.
func (s *tenantShares) knownDigest() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// replace replaces the known tenants by those of a configuration.
func (s *tenantShares) replace(shares []rpc.TenantShare, digest string) {
	byKey := map[clusterconfig.KeyDigest]*rpc.TenantShare{}
	for i := range shares {
		for _, raw := range shares[i].KeyDigests {
			var key clusterconfig.KeyDigest
			copy(key[:], raw)
			byKey[key] = &shares[i]
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byKey, s.digest = byKey, digest
}

// fetchTenants fetches the tenants of the newest configuration from the leader if they differ from
// those known here.
func (s *Server) fetchTenants(ctx context.Context) error {
	known := s.shares.knownDigest()
	response := s.Call(ctx, rpc.KindGetTenants, rpc.TenantQuery{KnownDigest: known})
	if response.Code != rpc.CodeOK {
		return fmt.Errorf("tenants of the newest configuration: the leader's response has code %d", response.Code)
	}
	if response.Text == known {
		return nil
	}
	var shares []rpc.TenantShare
	if err := transport.Decode(response.Body, &shares); err != nil {
		return fmt.Errorf("tenants of the newest configuration: %w", err)
	}
	s.shares.replace(shares, response.Text)
	return nil
}

// Urgent returns a nil channel, since no exchange is ever urgent: the allowance suffices for the
// time between two exchanges.
func (s *tenantShares) Urgent() <-chan struct{} { return nil }

// countExchanger exchanges counts with the leader.
type countExchanger interface {
	NextRequest(now, lastAt time.Time) (request counter.Request, due bool)
	HandleResponse(response counter.Response, now time.Time)
	// Urgent returns a channel that receives a value when an exchange is wanted at once.
	Urgent() <-chan struct{}
}

// exchangeCounts exchanges counts with the leader by requests of the given kind, until ctx ends.
func (s *Server) exchangeCounts(ctx context.Context, kind string, counts countExchanger) {
	ticker := time.NewTicker(counter.ExchangeInterval)
	defer ticker.Stop()
	lastAt := time.Time{}
	for {
		select {
		case <-ticker.C:
		case <-counts.Urgent():
			daemon.Pause(ctx, counter.UrgentExchangeInterval-time.Since(lastAt))
		case <-ctx.Done():
			return
		}
		request, due := counts.NextRequest(time.Now(), lastAt)
		if !due {
			continue
		}
		lastAt = time.Now()
		callCtx, cancel := context.WithTimeout(ctx, countExchangeTimeout)
		response := s.Call(callCtx, kind, request)
		cancel()
		var answer counter.Response
		if response.Code == rpc.CodeOK && transport.Decode(response.Body, &answer) == nil {
			counts.HandleResponse(answer, time.Now())
		}
	}
}
