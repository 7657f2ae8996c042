package gateway

import (
	"fmt"
	"math"
	"testing"

	"tealpond/internal/clusterconfig"
)

// TestSplitSharesHoldOverFewRequests checks that in any hundred consecutive requests each
// service gets its share to within two, regardless of interleaved requests of other routes.
func TestSplitSharesHoldOverFewRequests(t *testing.T) {
	const inARow, sets = 100, 50
	for _, shares := range [][]float64{{90, 10}, {50, 50}, {1, 99}, {60, 30, 10}, {0, 5, 5}} {
		parts, sum := "", 0.0
		for i, share := range shares {
			parts += fmt.Sprintf(`,{"targetService":"s%d","share":%g}`, i, share)
			sum += share
		}
		config, err := clusterconfig.Parse([]byte(`{"configVersion":1,"routeList":[` +
			`{"name":"split","hostName":"h","pathPrefix":"/a/","kind":"read_only","timeoutMs":1000,"trafficSplit":[` + parts[1:] + `]},` +
			`{"name":"other","hostName":"h","pathPrefix":"/b/","kind":"read_only","timeoutMs":1000,"trafficSplit":[` + parts[1:] + `]},` +
			`{"name":"plain","hostName":"h","pathPrefix":"/c/","kind":"read_only","timeoutMs":1000,"targetService":"s1"}],` +
			`"serviceList":[{"name":"s0"},{"name":"s1"},{"name":"s2"}]}`))
		if err != nil {
			t.Fatal(err)
		}
		proxy := New(Options{})
		proxy.SetConfig(config)
		for range sets {
			counts := map[string]int{}
			for i := range inARow {
				counts[proxy.serviceFor(&config.Routes[0])]++
				if i%3 == 0 {
					proxy.serviceFor(&config.Routes[1])
				}
				if service := proxy.serviceFor(&config.Routes[2]); service != "s1" {
					t.Fatalf("request of an unsplit route goes to %s, want s1", service)
				}
			}
			for i, share := range shares {
				want := inARow * share / sum
				if got := counts[fmt.Sprint("s", i)]; math.Abs(float64(got)-want) > 2 {
					t.Errorf("shares %v: service %d got %d of %d", shares, i, got, inARow)
				}
			}
		}
	}
}
