package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/registry"
)

// TestRequestsWaitForInitialConfig checks that requests arriving before the daemon has a
// configuration and a runner list wait for them briefly, and are then refused with a 503 and a
// Retry-After.
func TestRequestsWaitForInitialConfig(t *testing.T) {
	for _, c := range []struct {
		name       string
		leftMs     string
		configured time.Duration // 0: never
		listed     time.Duration
		wait       time.Duration // until the response
		status     int
	}{
		{"configured and listed in time, no runner", "3000", 100 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond, http.StatusServiceUnavailable},
		{"no such route", "3000", 200 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, http.StatusNotFound},
		{"never configured", "3000", 0, 100 * time.Millisecond, startupWait, http.StatusServiceUnavailable},
		{"never listed", "3000", 100 * time.Millisecond, 0, startupWait, http.StatusServiceUnavailable},
		{"short deadline", "1000", 0, 0, 485 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &harness{t: t, config: testConfigText(1)}
				h.proxy = New(Options{Zone: "z", Refresh: h.refresh})
				begin := time.Now()
				after := func(wait time.Duration, do func()) {
					if wait > 0 {
						time.AfterFunc(wait, do)
					}
				}
				after(c.configured, func() { _ = h.refresh(t.Context()) })
				after(c.listed, func() { h.proxy.SetRunners([]registry.Runner{}, Position{}) })
				path := "/read/x"
				if c.status == http.StatusNotFound {
					path = "/none/x"
				}
				request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h"+path, nil)
				request.Header.Set(protocol.HeaderTimeLeft, c.leftMs)
				recorder := httptest.NewRecorder()
				h.proxy.ServeHTTP(recorder, request)
				if took := time.Since(begin); took != c.wait || recorder.Code != c.status {
					t.Errorf("status %d after %v, want %d after %v", recorder.Code, took, c.status, c.wait)
				}
				if again := recorder.Header().Get(protocol.HeaderRetryAfter); (again != "") != (c.status == http.StatusServiceUnavailable) {
					t.Errorf("%s is %q", protocol.HeaderRetryAfter, again)
				}
				synctest.Wait()
			})
		})
	}
}
