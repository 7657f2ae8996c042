package desire

import (
	"encoding/json"
	"fmt"
	"testing"
)

// sized is a configuration of so many routes, as large as an operator's.
func sized(routes int) []byte {
	s := map[string]any{"configVersion": 7, "serviceList": []any{map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "guards": true}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
	var list []any
	for i := range routes {
		list = append(list, map[string]any{"name": fmt.Sprintf("r-%07d", i), "hostName": fmt.Sprintf("nony%d.example", i/10), "pathPrefix": fmt.Sprintf("/lohu%d/", i),
			"kind": "writing", "timeoutMs": 3000, "targetMs": 250, "priority": i % 3, "targetService": "huvo11a", "maxTries": 4, "stretch": 1.5})
	}
	s["routeList"] = list
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return raw
}

func BenchmarkRead(b *testing.B)      { each(b, func(raw []byte) { _, _ = Read(raw) }) }
func BenchmarkCheck(b *testing.B)     { each(b, func(raw []byte) { _ = Check(raw) }) }
func BenchmarkVersionOf(b *testing.B) { each(b, func(raw []byte) { VersionOf(raw) }) }

func each(b *testing.B, f func([]byte)) {
	for _, routes := range []int{10, 100, 1000} {
		raw := sized(routes)
		b.Run(fmt.Sprintf("%d routes, %d bytes", routes, len(raw)), func(b *testing.B) {
			for b.Loop() {
				f(raw)
			}
		})
	}
}
