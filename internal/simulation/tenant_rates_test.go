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

// rateConfiguration is gatewayConfiguration with a tenant that may make ten requests a
// second and five above that, and another without a rate.
const rateConfiguration = `{"configVersion":2,"routeList":[` +
	`{"name":"r","hostName":"h","pathPrefix":"/read/","kind":"read_only","timeoutMs":2000,"targetMs":500,"targetService":"svc","maxTries":3}],` +
	`"serviceList":[{"name":"svc"}],"tenantList":[{"name":"limited","apiKeys":["limited-key"],"ratePerS":10,"burst":5},{"name":"free","apiKeys":["free-key"]}]}`

// TestTenantsRateHoldsOverAllGateways: a tenant sends ten times its rate to all daemons,
// through a loss of the leader. What is served of it stays near its rate, what is refused
// gets a time to come again, and the other tenant is served all the while.
func TestTenantsRateHoldsOverAllGateways(t *testing.T) {
	gatewayDay(t, func(c *Cluster, _ *gatewayLoad) {
		c.WaitUntil("the configuration with rates is accepted", 20*time.Second, func() bool {
			code, _, _ := c.request(http.MethodPost, c.nodeURL(c.Leader(), controlPort, "/-/Config.Replace"), "", rateConfiguration, map[string]string{protocol.HeaderBasedOn: "1"})
			return code == http.StatusOK
		})
		time.Sleep(2 * time.Second)
		const flood = 20 * time.Second
		var served, refused, untimed, othersServed, others atomic.Int64
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
						untimed.Add(1)
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
		// 10 a second, in windows of 5 s; each leader begins with what it is told.
		if served.Load() < 150 || served.Load() > 330 {
			t.Errorf("%d requests of the limited tenant were served in %v, want about 200", served.Load(), flood)
		}
		if refused.Load() < 1000 || untimed.Load() > 0 {
			t.Errorf("%d were refused, %d without a time to come again", refused.Load(), untimed.Load())
		}
		if othersServed.Load() < others.Load()*8/10 {
			t.Errorf("%d of %d requests of the other tenant were served", othersServed.Load(), others.Load())
		}
	})
}
