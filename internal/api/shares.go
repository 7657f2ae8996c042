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
	// countRefreshInterval is the time between two exchanges of a daemon that has counted nothing.
	countRefreshInterval = 2 * time.Second
	// countExchangeTimeout bounds one exchange.
	countExchangeTimeout = 800 * time.Millisecond
	// countAllowanceTime is for how long of its share a tenant may run ahead at one daemon; it covers
	// the loss of one exchange.
	countAllowanceTime = time.Second
)

// tenantShares tells, of each job that comes in here, whether its tenant is within its
// share over all daemons together. It decides by counts that are merged with those of
// the other daemons; what it doesn't know yet is bounded, see counter.Exchange. It is
// safe for concurrent use.
type tenantShares struct {
	window time.Duration
	// overrun and slack are the operators' tolerance: what passes a share by less in a
	// window counts as within it, as tenants of a few jobs a second come in bursts.
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

// admit counts a job of the tenant whose key a call bears, and reports whether it is
// beyond the tenant's share. A key that isn't known here is left to the leader.
func (s *tenantShares) admit(key string, now time.Time) (beyondShare bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tenant := s.byKey[clusterconfig.DigestOf(key)]
	if tenant == nil || tenant.MilliShare <= 0 {
		return false
	}
	limit := uint64(max(float64(tenant.MilliShare)*s.window.Seconds()/milli*(1+s.overrun)+s.slack, 1))
	return !s.exchange.Admit(tenant.Name, limit, shareAllowance(tenant.MilliShare), now)
}

// milli is the factor between a number and its thousandths.
const milli = 1000

// shareAllowance is how many jobs of a tenant may be admitted ahead of the exchange: what
// its share gives in countAllowanceTime, and at least two, so that a tenant whose
// clients all come to one daemon is served there.
func shareAllowance(milliShare int64) uint64 {
	return uint64(max(float64(milliShare)*countAllowanceTime.Seconds()/milli, 2))
}

// NextRequest makes the next request to the leader; false if there is no need of one:
// nothing is new here, and the last one was made lately.
func (s *tenantShares) NextRequest(now, lastAt time.Time) (counter.Request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Expire(now)
	if len(s.byKey) == 0 || !s.exchange.HasChanges() && now.Sub(lastAt) < countRefreshInterval {
		return counter.Request{}, false
	}
	return s.exchange.Request(now), true
}

// HandleResponse takes the leader's answer.
func (s *tenantShares) HandleResponse(response counter.Response, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchange.HandleResponse(response, now)
}

// knownDigest is the digest of the tenants that are known here.
func (s *tenantShares) knownDigest() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// replace takes over the tenants of a configuration.
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

// fetchTenants gets the tenants of the newest configuration from the leader, if they
// differ from those that are known here.
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

// Urgent never gives a value: what is admitted ahead of the leader's knowledge is enough
// for the time between two exchanges.
func (s *tenantShares) Urgent() <-chan struct{} { return nil }

// countExchanger is one side of exchanges of counts with the leader.
type countExchanger interface {
	NextRequest(now, lastAt time.Time) (request counter.Request, due bool)
	HandleResponse(response counter.Response, now time.Time)
	// Urgent returns a value when an exchange is wanted at once.
	Urgent() <-chan struct{}
}

// exchangeCounts exchanges counts with the leader, by requests of a kind, until ctx ends.
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
