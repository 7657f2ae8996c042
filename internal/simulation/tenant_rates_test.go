package simulation

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// rateConfiguration is a gateway configuration with a tenant that is limited to ten
// requests a second with a burst of five, and another tenant without a limit.
const rateConfiguration = `{"configVersion":2,"routeList":[` +
	`{"name":"r","hostName":"h","pathPrefix":"/read/","kind":"read_only","timeoutMs":2000,"targetMs":500,"targetService":"svc","maxTries":3}],` +
	`"serviceList":[{"name":"svc"}],"tenantList":[{"name":"limited","apiKeys":["limited-key"],"ratePerS":10,"burst":5},{"name":"free","apiKeys":["free-key"]}]}`

// TestTenantRateLimitAcrossGateways: a tenant sends ten times its rate to all daemons
// while the leader is restarted. The served requests stay near its rate, the refused
// ones get Retry-After, and the other tenant is served throughout.
func TestTenantRateLimitAcrossGateways(t *testing.T) {
	runGatewayTest(t, func(c *Cluster, _ *gatewayLoad) {
		c.WaitUntil("the configuration with rates is accepted", 20*time.Second, func() bool {
			code, _, _ := c.request(http.MethodPost, c.nodeURL(c.Leader(), controlPort, "/-/Config.Replace"), "", rateConfiguration, map[string]string{protocol.HeaderBasedOn: "1"})
			return code == http.StatusOK
		})
		time.Sleep(2 * time.Second)
		const flood = 20 * time.Second
		var served, refused, withoutRetryAfter, othersServed, others atomic.Int64
		send := func(i int, key string) (int, http.Header) {
			nodes := c.nodeNames(gatewayRole)
			id := fmt.Sprintf("%s-%d", key, i)
			code, _, header := c.request(http.MethodGet, c.nodeURL(nodes[i%len(nodes)], clientPort, "/read/"+id), "h", "",
				map[string]string{protocol.HeaderAttemptID: id, protocol.HeaderTimeLeft: "2000", protocol.HeaderAuthorization: authorization(key)})
			return code, header
		}
		var requests sync.WaitGroup
		const pause = 10 * time.Millisecond
		for i := range int(flood / pause) {
			requests.Go(func() {
				switch code, header := send(i, "limited-key"); code {
				case http.StatusOK:
					served.Add(1)
				case http.StatusTooManyRequests:
					refused.Add(1)
					if header.Get(protocol.HeaderRetryAfter) == "" {
						withoutRetryAfter.Add(1)
					}
				}
			})
			if i%10 == 0 {
				requests.Go(func() {
					others.Add(1)
					if code, _ := send(i, "free-key"); code == http.StatusOK {
						othersServed.Add(1)
					}
				})
			}
			if i == int(flood/pause)/2 {
				leader := c.Leader()
				requests.Go(func() { c.Restart(time.Second, leader) })
			}
			time.Sleep(pause)
		}
		requests.Wait()
		// The rate is 10 a second, counted in windows of 5 s. A new leader starts from the counts that
		// daemons report to it.
		if served.Load() < 150 || served.Load() > 330 {
			t.Errorf("%d requests of the limited tenant were served in %v, want about 200", served.Load(), flood)
		}
		if refused.Load() < 1000 || withoutRetryAfter.Load() > 0 {
			t.Errorf("%d requests were refused, %d of them without Retry-After", refused.Load(), withoutRetryAfter.Load())
		}
		if othersServed.Load() < others.Load()*8/10 {
			t.Errorf("%d of %d requests of the other tenant were served, want at least 80%%", othersServed.Load(), others.Load())
		}
	})
}
