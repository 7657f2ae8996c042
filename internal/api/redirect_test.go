package api

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/settings"
)

// TestLargeConfigurationsAreRedirectedToTheLeader checks that operators get a redirect to the
// leader. nbo-tealpond-large failed CONFIG on a day whose configuration had 920 routes: read
// through small machines, it never arrived in time.
func TestLargeConfigurationsAreRedirectedToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		s := newTestServer(func(context.Context, rpc.Request) rpc.Response {
			calls++
			return rpc.Response{Code: 200, Body: []byte("{}")}
		})
		s.settings = settings.File{ListenAddresses: settings.ListenAddresses{Control: "10.0.0.9:8166"}}
		leader := "10.0.0.4:7720"
		s.leaderAddress = func() string { return leader }
		large := validConfig + strings.Repeat(" ", minRedirectBodyBytes)

		// The leader has not responded yet, so the call is forwarded.
		if replaceConfig(s, "5", large).Code != 200 || calls != 1 {
			t.Fatalf("%d requests to the leader, want 1 with response 200", calls)
		}
		// The leader has responded, so calls are redirected to it.
		for what, location := range map[string]string{
			"read": readConfig(s).Header().Get("Location"),
			"put":  replaceConfig(s, "5", large).Header().Get("Location"),
		} {
			if !strings.HasPrefix(location, "http://10.0.0.4:8166/-/Config.Re") {
				t.Errorf("%s was redirected to %q", what, location)
			}
		}
		if replaceConfig(s, "5", validConfig).Code != 200 || calls != 2 {
			t.Error("a small configuration was not forwarded")
		}
		leader = ""
		if readConfig(s).Code != 200 {
			t.Error("a call was redirected although no leader is known")
		}
		leader = "10.0.0.4:7720"
		time.Sleep(2 * redirectLeaderContactTimeout)
		if readConfig(s).Code != 200 {
			t.Error("a call was redirected to a leader that has not responded recently")
		}
	})
}
