package server

import (
	"fmt"
	"strings"
	"testing"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// immediateResponse returns the response to a request that is answered at once.
func immediateResponse(handler leaderHandler, replica *Replica) rpc.Response {
	var received rpc.Response
	handler(replica, nil, nil, replica.withAppliedVersions(func(response rpc.Response) { received = response }))
	return received
}

// TestConfigurationIsReadAsSent checks that callers are told to retry while there is no
// configuration, that the configuration is returned as it was sent, and that each response names
// its version.
func TestConfigurationIsReadAsSent(t *testing.T) {
	replica := newReplica()
	for name, handler := range map[string]leaderHandler{"read": (*Replica).handleGetConfig, "limits": (*Replica).handleGetLimits} {
		if response := immediateResponse(handler, replica); response.Code != rpc.CodeUnavailable || response.RetryAfterMs == 0 {
			t.Errorf("%s before the first configuration: code %d, retry after %d ms", name, response.Code, response.RetryAfterMs)
		}
	}
	raw := []byte(`{"configVersion":7,"routeList":[],"serviceList":[],"limits":{"maxBodyBytes":99}}`)
	if outcome := (&state.ReplaceConfiguration{Raw: raw}).Apply(replica.state); outcome.Code != state.CodeOK {
		t.Fatal(outcome)
	}
	response := immediateResponse((*Replica).handleGetConfig, replica)
	if response.Code != rpc.CodeOK || string(response.Body) != string(raw) || response.Value != 7 || response.ConfigVersion != 7 {
		t.Errorf("read: %+v", response)
	}
	var limits clusterconfig.Limits
	response = immediateResponse((*Replica).handleGetLimits, replica)
	decoded := transport.Decode(response.Body, &limits) == nil && limits.MaxBodyBytes == 99
	if response.Code != rpc.CodeOK || !decoded || response.Value != 7 || response.ConfigVersion != 7 {
		t.Errorf("limits: %+v, %+v", response, limits)
	}
}

// TestLimitsResponseDoesNotGrowWithRoutes checks that the response that a daemon without state
// fetches at each change doesn't grow with the number of routes.
func TestLimitsResponseDoesNotGrowWithRoutes(t *testing.T) {
	for _, routes := range []int{10, 100, 1000} {
		var list []string
		for i := range routes {
			list = append(list, fmt.Sprintf(`{"name":"r-%07d","hostName":"nony%d.example","pathPrefix":"/lohu%d/","kind":"writing","timeoutMs":3000,"targetMs":250,"priority":0,"targetService":"s","maxTries":4,"stretch":1.5}`, i, i/10, i))
		}
		replica := newReplica()
		raw := `{"configVersion":7,"routeList":[` + strings.Join(list, ",") + `],"serviceList":[{"name":"s"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
		if outcome := (&state.ReplaceConfiguration{Raw: []byte(raw)}).Apply(replica.state); outcome.Code != state.CodeOK {
			t.Fatal(outcome)
		}
		limitsBytes, configBytes := len(transport.Encode(immediateResponse((*Replica).handleGetLimits, replica))), len(transport.Encode(immediateResponse((*Replica).handleGetConfig, replica)))
		t.Logf("%d routes: limits of %d bytes, whole configuration of %d bytes", routes, limitsBytes, configBytes)
		if limitsBytes > 200 {
			t.Errorf("%d routes: limits of %d bytes, want at most 200", routes, limitsBytes)
		}
	}
}
