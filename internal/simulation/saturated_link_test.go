package simulation

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

const (
	// saturatedLinkRate is the rate, in bytes a second, of the daemon link that
	// clients saturate.
	saturatedLinkRate = 450_000
	// uploadBytes is the size of each uploaded request body.
	uploadBytes = 60_000
	// uploaders is the number of clients that upload. Together their connections
	// buffer about three seconds of traffic at the rate of the link.
	uploaders = 24
	// minUtilization is the minimum fraction of the link that the bodies of answered
	// requests must take.
	minUtilization = 0.85
)

// saturateLink has clients upload bodies to a daemon, each one after another, until
// stop is called. stop returns the number of answered uploads.
func (l *gatewayLoad) saturateLink(node string) (stop func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var answered atomic.Int64
	body := strings.Repeat("x", uploadBytes)
	for i := range uploaders {
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{DialContext: l.c.Network.Host(l.c.hostIP(clientHost)).DialContext}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("up-%d-%d", i, n)
				time.Sleep(10 * time.Millisecond)
				code, _, _ := l.c.requestFrom(client, 8*time.Second, http.MethodPost, l.c.nodeURL(node, clientPort, "/upload/"+id), "h", body, map[string]string{protocol.HeaderAttemptID: id, protocol.HeaderTimeLeft: "8000"})
				if code == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	return func() int {
		cancel()
		running.Wait()
		return int(answered.Load())
	}
}

// TestDrainingRunnerAvoidedOnSaturatedLink: a daemon whose link is saturated by uploads
// sends no request to a draining runner later than drainMs after the runner was listed
// as draining.
func TestDrainingRunnerAvoidedOnSaturatedLink(t *testing.T) {
	for _, spec := range []ClusterSpec{
		{Servers: 3, Edges: 3, Zones: 2, Gateway: true},
		{Servers: 3, Edges: 3, Zones: 2, Gateway: true, Announced: true},
	} {
		t.Run(map[bool]string{false: "listed", true: "announced"}[spec.Announced], func(t *testing.T) {
			runGatewayTestOn(t, spec, func(c *Cluster, load *gatewayLoad) {
				node := "edge-6"
				// Bodies that share the link take more than three seconds each.
				c.putGatewayConfiguration(2, 1, `,{"name":"u","hostName":"h","pathPrefix":"/upload/","kind":"writing","timeoutMs":8000,"targetService":"svc","maxTries":2}`)
				c.Network.SetRate(c.NodeIP(node), saturatedLinkRate)
				begin, stop := time.Now(), load.saturateLink(node)
				time.Sleep(3 * time.Second)
				for _, id := range []string{"i-02", "i-04", "i-05", "i-06"} { // in the zone of the daemon
					c.platform.StartRunner("svc", "z1")
					time.Sleep(3 * time.Second)
					c.platform.MarkDraining(id)
					listedAt := time.Now()
					time.Sleep(6 * time.Second)
					bound := drainDuration
					if spec.Announced {
						bound += heartbeatInterval // the runner announces it with its next heartbeat
					}
					if late := c.platform.LastRequestAt(id).Sub(listedAt); late > bound {
						t.Errorf("%s got a request %v after it was listed as draining", id, late)
					} else {
						t.Logf("%s got its last request %v after it was listed as draining", id, late)
					}
				}
				// Holding back uploads at the clients must not lower the utilization of the link.
				carried := time.Since(begin).Seconds() * saturatedLinkRate / uploadBytes
				if answered := stop(); float64(answered) < minUtilization*carried {
					t.Errorf("%d uploads were answered, the link carries %.0f", answered, carried)
				} else {
					t.Logf("%d uploads were answered, the link carries %.0f", answered, carried)
				}
			})
		})
	}
}
