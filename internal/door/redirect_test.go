package door

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/setting"
	"tealpond/internal/tune"
)

// TestLargeConfigurationsGoToTheLeaderItself: nbo-tealpond-large broke CONFIG on
// a day whose configuration had 920 routes: read through small machines, it
// never came in time.
func TestLargeConfigurationsGoToTheLeaderItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		e := newTestEdge(func(context.Context, member.Ask) member.Answer {
			asked++
			return member.Answer{Code: 200, Body: []byte("{}")}
		})
		e.set = setting.Setting{ListenAddrs: setting.Listen{ControlAddr: "10.0.0.9:8166"}}
		leader := "10.0.0.4:7720"
		e.leader = func() string { return leader }
		large := goodConfiguration + strings.Repeat(" ", tune.RedirectBytes)

		// The leader wasn't heard yet: the call is carried on.
		if put(e, "5", large).Code != 200 || asked != 1 {
			t.Fatalf("asked %d times", asked)
		}
		// Now it was.
		for what, r := range map[string]string{
			"read": read(e).Header().Get("Location"),
			"put":  put(e, "5", large).Header().Get("Location"),
		} {
			if !strings.HasPrefix(r, "http://10.0.0.4:8166/-/Config.Re") {
				t.Errorf("%s was sent to %q", what, r)
			}
		}
		if put(e, "5", goodConfiguration).Code != 200 || asked != 2 {
			t.Error("a small configuration wasn't carried on")
		}
		leader = ""
		if read(e).Code != 200 {
			t.Error("a call was sent on though no leader is known")
		}
		leader = "10.0.0.4:7720"
		time.Sleep(2 * tune.RedirectFresh)
		if read(e).Code != 200 {
			t.Error("a call was sent to a leader that wasn't heard for long")
		}
	})
}
