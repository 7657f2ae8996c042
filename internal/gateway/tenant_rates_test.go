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

// rateCluster is some daemons that exchange counts with a leader, over a way that takes a
// time.
type rateCluster struct {
	daemons []*TenantRates
	cut     bool // nobody reaches the leader

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

// serve exchanges a daemon's counts as the api's loop does, until ended is closed.
func (c *rateCluster) serve(daemon *TenantRates, ended chan struct{}) {
	const wayThere = 10 * time.Millisecond
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
		if request, due := daemon.NextRequest(time.Now(), time.Time{}); due && !c.cut {
			time.Sleep(wayThere)
			c.mu.Lock()
			c.leader.Expire(time.Now())
			response := c.leader.AnswerSums(request, time.Now())
			c.mu.Unlock()
			time.Sleep(wayThere)
			daemon.HandleResponse(response, time.Now())
		}
	}
}

// mostInWindow is how many requests of a tenant some daemons may admit in any window: what
// its rate gives in the window, its burst, and what passes that. Each daemon admits at most
// its allowance of which the leader hasn't heard, so the leader's sum passes the limit by
// one message's worth at most, and by then each daemon may have its allowance under way:
// (daemons + 1) x allowance, see counter.Exchange.Admit and docs/counting.md. Where no
// leader is heard the allowances are all there is.
func mostInWindow(tenant *clusterconfig.Tenant, daemons int, cut bool) int {
	allowance := int(rateAllowance(tenant.RatePerS))
	if cut {
		return daemons * allowance
	}
	limit := int(tenant.RatePerS*testRateWindow.Seconds() + tenant.Burst)
	return limit + (daemons+1)*allowance
}

// TestRatesHoldOverAllDaemons: a tenant within its rate is refused nothing, wherever its
// requests come in; one far beyond it gets its rate over any window, and no more than the
// bound of the allowances beyond it; no daemon is ever further ahead of the leader than its
// allowance; and without a leader each daemon stops there.
func TestRatesHoldOverAllDaemons(t *testing.T) {
	tenant := &clusterconfig.Tenant{Name: "t", RatePerS: 14, Burst: 10}
	allowance := rateAllowance(tenant.RatePerS)
	for _, test := range []struct {
		name       string
		daemons    int // that the tenant's requests come to
		perS       float64
		cut        bool
		leastInAll int // of what is offered in 20 s
	}{
		{"within, one daemon", 1, 12, false, 230},
		{"within, many daemons", 95, 12, false, 230},
		{"beyond, one daemon", 1, 140, false, 280},
		{"beyond, some daemons", 16, 140, false, 260},
		{"beyond, many daemons", 95, 140, false, 240},
		{"no leader", 16, 140, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bound := mostInWindow(tenant, test.daemons, test.cut)
				random := rand.New(rand.NewSource(1))
				c := newRateCluster(test.daemons)
				c.cut = test.cut
				ended, admitted := make(chan struct{}), make(chan time.Time, 10_000)
				var requests, exchanges sync.WaitGroup
				for _, daemon := range c.daemons {
					exchanges.Go(func() { c.serve(daemon, ended) })
				}
				for range int(test.perS * 20) {
					daemon := c.daemons[random.Intn(test.daemons)]
					requests.Go(func() {
						if _, ok := daemon.admit(t.Context(), tenant); ok {
							admitted <- time.Now()
							if ahead := daemon.ahead(tenant.Name); ahead > allowance {
								t.Errorf("a daemon is %d requests ahead of the leader, of %d allowed", ahead, allowance)
							}
						}
					})
					time.Sleep(time.Duration(random.ExpFloat64() / test.perS * float64(time.Second)))
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
						t.Fatalf("%d requests are admitted in a window, at most %d may be", len(inWindow), bound)
					}
				}
				if total < test.leastInAll {
					t.Errorf("%d requests were admitted in 20 s, want %d", total, test.leastInAll)
				}
			})
		})
	}
}

// ahead is how many requests of a tenant the daemon admitted that the leader hasn't
// acknowledged.
func (r *TenantRates) ahead(tenant string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exchange.Ahead(tenant)
}

// TestRequestsBeyondTheRateAreRefused: with 429 and the time to come again; other tenants,
// tenants without a rate and public routes aren't held back.
func TestRequestsBeyondTheRateAreRefused(t *testing.T) {
	h := newHarness(t, sound)
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
			t.Errorf("it may come again after %q s", header.Get(protocol.HeaderRetryAfter))
		}
	}
	for range 5 {
		if code, _ := call("kb"); code != 200 {
			t.Errorf("a tenant without a rate gets %d", code)
		}
	}
	if arrivals := len(h.seen()); arrivals != 7 {
		t.Errorf("%d requests reached the runner, want 7", arrivals)
	}
}
