package clusterconfig

import (
	"encoding/json"
	"fmt"
	"testing"
)

// configOfRoutes returns a configuration with the given number of routes, each of
// the size that operators use.
func configOfRoutes(routes int) []byte {
	service := map[string]any{
		"name": "huvo11a", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "guards": true,
	}
	config := map[string]any{
		"configVersion": 7,
		"serviceList":   []any{service},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
	var routeList []any
	for i := range routes {
		routeList = append(routeList, map[string]any{
			"name":       fmt.Sprintf("r-%07d", i),
			"hostName":   fmt.Sprintf("nony%d.example", i/10),
			"pathPrefix": fmt.Sprintf("/lohu%d/", i),
			"kind":       "writing", "timeoutMs": 3000, "targetMs": 250, "priority": i % 3,
			"targetService": "huvo11a", "maxTries": 4, "stretch": 1.5,
		})
	}
	config["routeList"] = routeList
	raw, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	return raw
}

func BenchmarkParse(b *testing.B)     { benchmarkSizes(b, func(raw []byte) { _, _ = Parse(raw) }) }
func BenchmarkValidate(b *testing.B)  { benchmarkSizes(b, func(raw []byte) { _ = Validate(raw) }) }
func BenchmarkVersionOf(b *testing.B) { benchmarkSizes(b, func(raw []byte) { VersionOf(raw) }) }

func benchmarkSizes(b *testing.B, parse func([]byte)) {
	for _, routes := range []int{10, 100, 1000} {
		raw := configOfRoutes(routes)
		b.Run(fmt.Sprintf("%d routes, %d bytes", routes, len(raw)), func(b *testing.B) {
			for b.Loop() {
				parse(raw)
			}
		})
	}
}
