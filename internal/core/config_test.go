package core

import (
	"fmt"
	"strings"
	"testing"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/store"
	"tealpond/internal/transport"
)

// asked gives the answer to an ask that is answered at once.
func asked(ask func(*Core, []byte, *transport.Stream, replyFunc), c *Core) rpc.Response {
	var got rpc.Response
	ask(c, nil, nil, c.stamped(func(a rpc.Response) { got = a }))
	return got
}

// TestConfigurationReads: before there is one, callers are told to come back;
// then it is given as sent, and each answer names its version.
func TestConfigurationReads(t *testing.T) {
	c := &Core{state: store.New(store.Limits{})}
	for name, ask := range map[string]func(*Core, []byte, *transport.Stream, replyFunc){"read": (*Core).askRead, "limits": (*Core).askLimits} {
		if a := asked(ask, c); a.Code != 503 || a.RetryAfterMs == 0 {
			t.Errorf("%s before the first: %d, come back in %d ms", name, a.Code, a.RetryAfterMs)
		}
	}
	raw := []byte(`{"configVersion":7,"routeList":[],"serviceList":[],"limits":{"maxBodyBytes":99}}`)
	if outcome := (&store.Replace{Raw: raw}).Apply(c.state); outcome.Code != 200 {
		t.Fatal(outcome)
	}
	if a := asked((*Core).askRead, c); a.Code != 200 || string(a.Body) != string(raw) || a.Value != 7 || a.ConfigVersion != 7 {
		t.Errorf("read: %+v", a)
	}
	var l clusterconfig.Limits
	if a := asked((*Core).askLimits, c); a.Code != 200 || transport.Decode(a.Body, &l) != nil || l.MaxBodyBytes != 99 || a.Value != 7 || a.ConfigVersion != 7 {
		t.Errorf("limits: %+v, %+v", a, l)
	}
}

// TestNewsOfAChangeStaysSmall: what a daemon without state pulls at a change
// doesn't grow with the number of routes.
func TestNewsOfAChangeStaysSmall(t *testing.T) {
	for _, routes := range []int{10, 100, 1000} {
		var list []string
		for i := range routes {
			list = append(list, fmt.Sprintf(`{"name":"r-%07d","hostName":"nony%d.example","pathPrefix":"/lohu%d/","kind":"writing","timeoutMs":3000,"targetMs":250,"priority":0,"targetService":"s","maxTries":4,"stretch":1.5}`, i, i/10, i))
		}
		c := &Core{state: store.New(store.Limits{})}
		raw := `{"configVersion":7,"routeList":[` + strings.Join(list, ",") + `],"serviceList":[{"name":"s"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
		if outcome := (&store.Replace{Raw: []byte(raw)}).Apply(c.state); outcome.Code != 200 {
			t.Fatal(outcome)
		}
		news, whole := len(transport.Encode(asked((*Core).askLimits, c))), len(transport.Encode(asked((*Core).askRead, c)))
		t.Logf("%d routes: %d bytes, the whole configuration %d", routes, news, whole)
		if news > 200 {
			t.Errorf("%d routes: %d bytes", routes, news)
		}
	}
}
