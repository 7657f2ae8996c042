package gateway

import (
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/counter"
	"tealpond/internal/protocol"
)

const testRateWindow = 5 * time.Second

// rateCluster is a set of daemons that exchange counts with a leader over links with a delay.
type rateCluster struct {
	daemons     []*TenantRates
	partitioned bool // no daemon reaches the leader

	mu     sync.Mutex
	leader *counter.Set
}

func newRateCluster(daemons int) *rateCluster {
	c := &rateCluster{leader: counter.NewSet("leader", testRateWindow, counter.SlotWidth, time.Now())}
	for i := range daemons {
		c.daemons = append(c.daemons, newTenantRates(fmt.Sprint("d", i), testRateWindow, time.Now()))
	}
	return c
}

// serve exchanges a daemon's counts as the loop in package api does, until ended is closed.
func (c *rateCluster) serve(daemon *TenantRates, ended chan struct{}) {
	const oneWayLatency = 10 * time.Millisecond
	ticker := time.NewTicker(counter.ExchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-daemon.Urgent():
			time.Sleep(counter.UrgentExchangeInterval)
		case <-ended:
			return
		}
		if request, due := daemon.NextRequest(time.Now(), time.Time{}); due && !c.partitioned {
			time.Sleep(oneWayLatency)
			c.mu.Lock()
			c.leader.Expire(time.Now())
			response := c.leader.AnswerSums(request, time.Now())
			c.mu.Unlock()
			time.Sleep(oneWayLatency)
			daemon.HandleResponse(response, time.Now())
		}
	}
}

// maxAdmittedInWindow is the maximum number of requests of a tenant that a number of daemons
// may admit in any window: the tenant's rate over the window, its burst, and the overshoot.
// Each daemon admits at most its allowance before the leader knows of it. The leader's sum
// therefore exceeds the limit by at most one message, and at that time each daemon may have
// admitted its allowance without having reported it: (daemons + 1) x allowance, see
// counter.Exchange.Admit and docs/counting.md. If no leader is reachable only the allowances
// are admitted.
func maxAdmittedInWindow(tenant *clusterconfig.Tenant, daemons int, partitioned bool) int {
	allowance := int(rateAllowance(tenant.RatePerS))
	if partitioned {
		return daemons * allowance
	}
	limit := int(tenant.RatePerS*testRateWindow.Seconds() + tenant.Burst)
	return limit + (daemons+1)*allowance
}

// TestTenantRateHoldsAcrossDaemons checks that a tenant within its rate is never refused,
// whichever daemons receive its requests; that a tenant far above its rate gets its rate in
// any window and no more than the allowances beyond it; that no daemon is ever ahead of the
// leader by more than its allowance; and that without a leader each daemon stops at its
// allowance.
func TestTenantRateHoldsAcrossDaemons(t *testing.T) {
	tenant := &clusterconfig.Tenant{Name: "t", RatePerS: 14, Burst: 10}
	allowance := rateAllowance(tenant.RatePerS)
	for _, test := range []struct {
		name        string
		daemons     int // that receive the tenant's requests
		ratePerS    float64
		partitioned bool
		minAdmitted int // out of the requests sent in 20 s
	}{
		{"within rate, one daemon", 1, 12, false, 230},
		{"within rate, many daemons", 95, 12, false, 230},
		{"over rate, one daemon", 1, 140, false, 280},
		{"over rate, some daemons", 16, 140, false, 260},
		{"over rate, many daemons", 95, 140, false, 240},
		{"no leader", 16, 140, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bound := maxAdmittedInWindow(tenant, test.daemons, test.partitioned)
				random := rand.New(rand.NewSource(1))
				c := newRateCluster(test.daemons)
				c.partitioned = test.partitioned
				ended, admitted := make(chan struct{}), make(chan time.Time, 10_000)
				var requests, exchanges sync.WaitGroup
				for _, daemon := range c.daemons {
					exchanges.Go(func() { c.serve(daemon, ended) })
				}
				for range int(test.ratePerS * 20) {
					daemon := c.daemons[random.Intn(test.daemons)]
					requests.Go(func() {
						if _, ok := daemon.admit(t.Context(), tenant); ok {
							admitted <- time.Now()
							if ahead := daemon.ahead(tenant.Name); ahead > allowance {
								t.Errorf("daemon is %d requests ahead of the leader, want at most %d", ahead, allowance)
							}
						}
					})
					time.Sleep(time.Duration(random.ExpFloat64() / test.ratePerS * float64(time.Second)))
				}
				requests.Wait()
				close(ended)
				exchanges.Wait()
				close(admitted)
				total, inWindow := 0, []time.Time{}
				for at := range admitted {
					total++
					inWindow = append(inWindow, at)
					for at.Sub(inWindow[0]) >= testRateWindow {
						inWindow = inWindow[1:]
					}
					if len(inWindow) > bound {
						t.Fatalf("%d requests admitted in a window, want at most %d", len(inWindow), bound)
					}
				}
				if total < test.minAdmitted {
					t.Errorf("%d requests admitted in 20 s, want at least %d", total, test.minAdmitted)
				}
			})
		})
	}
}

// ahead returns how many admitted requests of a tenant the leader has not acknowledged.
func (r *TenantRates) ahead(tenant string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exchange.Unacknowledged(tenant)
}

// TestRequestsOverTenantRateGet429 checks that requests over a tenant's rate get 429 with a
// Retry-After, and that tenants without a rate are not limited.
func TestRequestsOverTenantRateGet429(t *testing.T) {
	h := newHarness(t, succeeding)
	h.proxy.rates = newTenantRates("p", testRateWindow, time.Now())
	h.config = fmt.Sprintf(testConfig, 2, `,"tenantList":[{"name":"a","apiKeys":["ka"],"ratePerS":0.2,"burst":1},{"name":"b","apiKeys":["kb"]}]`)
	if err := h.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	call := func(key string) (int, http.Header) {
		code, _, header := h.call("GET", "/read/x", "", map[string]string{protocol.HeaderAuthorization: "Bearer " + key})
		return code, header
	}
	for i, want := range []int{200, 200, 429} {
		code, header := call("ka")
		if code != want {
			t.Errorf("request %d: %d, want %d", i, code, want)
		}
		if wait, err := strconv.ParseFloat(header.Get(protocol.HeaderRetryAfter), 64); code == 429 && (err != nil || wait <= 1 || wait > 6) {
			t.Errorf("Retry-After is %q s, want more than 1 and at most 6", header.Get(protocol.HeaderRetryAfter))
		}
	}
	for range 5 {
		if code, _ := call("kb"); code != 200 {
			t.Errorf("tenant without a rate: status %d, want 200", code)
		}
	}
	if arrivals := len(h.receivedRequests()); arrivals != 7 {
		t.Errorf("runner received %d requests, want 7", arrivals)
	}
}
