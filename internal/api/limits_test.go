package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/labstack/echo/v4"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// TestSizesAreRejectedByNewestLimitsOnly checks that a request over the limits known here is
// rejected only if it exceeds the newest limits too, since those known here may be older than the
// configuration in force.
func TestSizesAreRejectedByNewestLimitsOnly(t *testing.T) {
	job := `{"jobSpec":"` + strings.Repeat("x", 500) + `","steps":[{"taskCount":1}]}`
	leaderLimits := func(version int64, header int, body int64) rpc.Response {
		return rpc.Response{Code: 200, Value: version, Body: transport.Encode(clusterconfig.Limits{MaxHeaderBytes: header, MaxBodyBytes: body})}
	}
	for _, c := range []struct {
		name          string
		header        int
		body          int64
		newest        rpc.Response
		want          int
		unknownLength bool
	}{
		{"within", 1000, 1000, rpc.Response{Code: 500}, 200, false},
		{"body over the old limit", 1000, 100, leaderLimits(8, 1000, 1000), 200, false},
		{"body over the old limit, length unknown", 1000, 100, leaderLimits(8, 1000, 1000), 200, true},
		{"body over both", 1000, 100, leaderLimits(8, 1000, 400), 413, false},
		{"body over both, length unknown", 1000, 100, leaderLimits(8, 1000, 400), 413, true},
		{"headers over the old limit", 10, 1000, leaderLimits(8, 1000, 1000), 200, false},
		{"headers over both", 10, 1000, leaderLimits(8, 20, 1000), 431, false},
		{"body over the old limit, leader unreachable", 1000, 100, rpc.Response{Code: rpc.CodeNoLeader}, 503, false},
		{"headers over the old limit, no response", 10, 1000, rpc.Response{Code: rpc.CodeTimeout}, 503, false},
		{"body over the old limit, not configured", 1000, 100, rpc.Response{Code: 503}, 503, true},
	} {
		s := newTestServer(respondByKind(map[string]rpc.Response{rpc.KindGetLimits: c.newest, rpc.KindSubmitJob: {Code: 200}}))
		s.limits.Store(newSizeLimits(7, clusterconfig.Limits{MaxHeaderBytes: c.header, MaxBodyBytes: c.body}))
		request := httptest.NewRequest(http.MethodPost, "/p/0123456789abcdef", strings.NewReader(job))
		request.Header.Set("X-Long", strings.Repeat("h", 50))
		if c.unknownLength {
			request.ContentLength = -1
		}
		recorder := httptest.NewRecorder()
		_ = s.serveJob(echo.New().NewContext(request, recorder))
		if recorder.Code != c.want || (c.want == 503) != (recorder.Header().Get(protocol.HeaderRetryAfter) != "") {
			t.Errorf("%s: %d, want %d", c.name, recorder.Code, c.want)
		}
	}
}

// TestLimitsAreFetchedForNewerVersions checks that the limits are fetched when any response, also
// one of the local replica, names a newer configuration version, and that older limits never
// replace newer ones.
func TestLimitsAreFetchedForNewerVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version, fetches := int64(8), 0
		s := newTestServer(func(_ context.Context, a rpc.Request) rpc.Response {
			if a.Kind == rpc.KindGetLimits {
				fetches++
				limits := transport.Encode(clusterconfig.Limits{MaxBodyBytes: version})
				return rpc.Response{Code: 200, Value: version, ConfigVersion: version, Body: limits}
			}
			return rpc.Response{Code: 200, ConfigVersion: version}
		})
		ctx, stop := context.WithCancel(t.Context())
		go s.refreshLimits(ctx)
		for _, version = range []int64{8, 8, 9, 8} {
			s.Call(ctx, rpc.KindRenewMembership, struct{}{})
			synctest.Wait()
		}
		if got := s.knownLimits(); got.version != 9 || got.bodyBytes != 9 || fetches != 2 {
			t.Errorf("limits %+v after %d fetches, want version 9 after 2", *got, fetches)
		}
		stop()
	})
}
