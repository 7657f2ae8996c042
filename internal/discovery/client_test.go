package discovery_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/discovery"
	"tealpond/internal/rpc"
	"tealpond/internal/simulation"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// fakeServer is a server whose leader information and responses are set by the test.
type fakeServer struct {
	addr string
	ip   string

	mu      sync.Mutex
	info    rpc.LeaderInfo
	respond func(request rpc.Request) (rpc.Response, bool)
}

// setState replaces the leader information of a server and, unless respond is nil, its responses.
func (s *fakeServer) setState(info rpc.LeaderInfo, respond func(request rpc.Request) (rpc.Response, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info = info
	if respond != nil {
		s.respond = respond
	}
}

func (s *fakeServer) handle(request rpc.Request) (rpc.Response, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Kind == rpc.KindLeader {
		return rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(s.info)}, true
	}
	return s.respond(request)
}

// fixture is a simulated network with one client and several servers.
type fixture struct {
	t        *testing.T
	net      *simulation.Network
	servers  []*fakeServer
	client   *discovery.Client
	clientIP string
}

// serve starts listening at a server's address.
func (f *fixture) serve(ctx context.Context, server *fakeServer) {
	f.t.Helper()
	err := transport.Serve(transport.WithNetwork(ctx, f.net.Host(server.ip)), server.addr, func(event transport.Event) {
		var request rpc.Request
		if event.Closed || transport.Decode(event.Frame.Body, &request) != nil {
			return
		}
		if response, ok := server.handle(request); ok {
			event.Stream.Send(transport.Frame{Kind: rpc.FrameResponse, ID: event.Frame.ID, Body: transport.Encode(response)})
		}
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// partition starts or ends a network partition between the client and a server, in both directions.
func (f *fixture) partition(server *fakeServer, partition bool) {
	for _, pair := range [][2]string{{f.clientIP, server.ip}, {server.ip, f.clientIP}} {
		if partition {
			f.net.Block(pair[0], pair[1])
		} else {
			f.net.Unblock(pair[0], pair[1])
		}
	}
}

// call sends a request and returns the code of the response and its duration.
func (f *fixture) call(kind string, timeout time.Duration) (rpc.Code, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := time.Now()
	response := f.client.Call(ctx, kind, struct{}{})
	return response.Code, time.Since(start)
}

// withServers runs a test with a client whose seeds are n servers. The first server is the leader.
// All servers respond with CodeOK and their index as the value.
func withServers(t *testing.T, n int, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fixture{t: t, net: simulation.NewNetwork(), clientIP: "10.0.0.100"}
		var seeds []string
		for i := range n {
			ip := fmt.Sprint("10.0.0.", i+1)
			server := &fakeServer{ip: ip, addr: ip + ":7720", info: rpc.LeaderInfo{Term: 1, IsLeader: i == 0}}
			server.respond = func(rpc.Request) (rpc.Response, bool) { return rpc.Response{Code: rpc.CodeOK, Value: int64(i)}, true }
			f.servers = append(f.servers, server)
			f.serve(ctx, server)
			seeds = append(seeds, server.addr)
		}
		f.client = discovery.NewClient(discovery.Options{Seeds: seeds})
		go f.client.Run(transport.WithNetwork(ctx, f.net.Host(f.clientIP)))
		test(f)
		cancel()
		for _, server := range f.servers {
			f.net.TakeDown(server.ip)
		}
		time.Sleep(10 * time.Second)
	})
}

func respondNotLeader(rpc.Request) (rpc.Response, bool) {
	return rpc.Response{Code: rpc.CodeNotLeader}, true
}

// TestRequestsFailFastWhileNoLeaderIsReachable checks that once no leader is known to be reachable,
// an operator's request fails at once and a client's after a short wait. Soon after the loss of the
// leader both wait for an election, the operator's request for less than the second after which
// the operator tries the next daemon.
func TestRequestsFailFastWhileNoLeaderIsReachable(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		if code, _ := f.call(rpc.KindGetConfig, time.Second); code != rpc.CodeOK {
			t.Fatalf("before the partition: code %d", code)
		}
		for _, server := range f.servers {
			f.partition(server, true)
		}
		// The partition is detected when this request remains unanswered.
		if code, _ := f.call(rpc.KindPutConfig, time.Second); code != rpc.CodeTimeout {
			t.Errorf("request sent during the partition: code %d", code)
		}
		if code, took := f.call(rpc.KindPutConfig, time.Second); code != rpc.CodeNoLeader || took > discovery.OperatorLeaderWait+10*time.Millisecond {
			t.Errorf("operator request soon after the partition: code %d after %v", code, took)
		}
		time.Sleep(2 * time.Second)
		for range 20 {
			if code, took := f.call(rpc.KindGetConfig, time.Second); code != rpc.CodeNoLeader || took > 20*time.Millisecond {
				t.Errorf("operator request long after the partition: code %d after %v", code, took)
			}
			if code, took := f.call(rpc.KindSubmitJob, 3*time.Second); code != rpc.CodeNoLeader || took > discovery.KnownNoLeaderWait+10*time.Millisecond {
				t.Errorf("client request long after the partition: code %d after %v", code, took)
			}
			if code, took := f.call(rpc.KindRenewMembership, 3*time.Second); code != rpc.CodeNoLeader || took < discovery.LeaderWaitTimeout {
				t.Errorf("request of a daemon long after the partition: code %d after %v", code, took)
			}
		}
		for _, server := range f.servers {
			f.partition(server, false)
		}
		time.Sleep(time.Second)
		if code, _ := f.call(rpc.KindGetConfig, time.Second); code != rpc.CodeOK {
			t.Errorf("after the partition: code %d", code)
		}
	})
}

// TestClientRequestWaitsThroughElection checks that a client's request succeeds if the next leader is
// elected 0.8 s after the old one was lost.
func TestClientRequestWaitsThroughElection(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		f.call(rpc.KindGetConfig, time.Second)
		f.servers[0].setState(rpc.LeaderInfo{}, respondNotLeader)
		go func() {
			time.Sleep(800 * time.Millisecond)
			f.servers[1].setState(rpc.LeaderInfo{Term: 2, IsLeader: true}, nil)
		}()
		if code, took := f.call(rpc.KindSubmitJob, 3*time.Second); code != rpc.CodeOK {
			t.Errorf("code %d after %v", code, took)
		}
	})
}

// TestNoLeaderIsReportedOnlyIfRequestWasNeverProcessed checks that CodeNoLeader may end a request that
// a leader rejected as not being the leader, but not one that a leader left without a response, even
// if the caller's context ends first.
func TestNoLeaderIsReportedOnlyIfRequestWasNeverProcessed(t *testing.T) {
	for _, test := range []struct {
		name string
		code rpc.Code
		ok   bool
		want rpc.Code
	}{
		{"no longer the leader", rpc.CodeNotLeader, true, rpc.CodeNoLeader},
		{"leadership lost with the request in flight", rpc.CodeLeadershipLost, true, rpc.CodeTimeout},
		{"no response", 0, false, rpc.CodeTimeout},
	} {
		for _, timeout := range []time.Duration{700 * time.Millisecond, 3 * time.Second} {
			withServers(t, 3, func(f *fixture) {
				f.call(rpc.KindGetConfig, time.Second)
				server := f.servers[0]
				server.setState(rpc.LeaderInfo{Term: 1, IsLeader: true}, func(rpc.Request) (rpc.Response, bool) {
					server.info.IsLeader = false
					return rpc.Response{Code: test.code}, test.ok
				})
				if code, took := f.call(rpc.KindSubmitJob, timeout); code != test.want {
					t.Errorf("%s, time-out %v: code %d after %v, want %d", test.name, timeout, code, took, test.want)
				}
			})
		}
	}
}

// TestServerAtReusedLeaderAddressGetsNoRequests checks that a server is sent requests only after it
// has reported itself as the leader: the old leader's address may have been reused.
func TestServerAtReusedLeaderAddressGetsNoRequests(t *testing.T) {
	withServers(t, 2, func(f *fixture) {
		f.call(rpc.KindGetConfig, time.Second)
		old, successor := f.servers[0], f.servers[1]
		f.net.TakeDown(old.ip)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		requests := 0
		old.setState(rpc.LeaderInfo{}, func(rpc.Request) (rpc.Response, bool) { requests++; return rpc.Response{}, false })
		successor.setState(rpc.LeaderInfo{Term: 2, IsLeader: true, Leader: old.addr}, nil)
		f.serve(ctx, old)
		callCtx, done := context.WithTimeout(context.Background(), 3*time.Second)
		defer done()
		if response := f.client.Call(callCtx, rpc.KindSubmitJob, struct{}{}); response.Code != rpc.CodeOK || response.Value != 1 {
			t.Errorf("code %d, value %d", response.Code, response.Value)
		}
		if requests != 0 {
			t.Error("a request was sent to the server that reuses the old leader's address")
		}
	})
}

// TestNewLeaderIsFoundWhileOldOneIsUnresponsive checks that a search does not wait for the old leader
// if that one neither answers nor refuses connections.
func TestNewLeaderIsFoundWhileOldOneIsUnresponsive(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		f.call(rpc.KindGetConfig, time.Second)
		f.partition(f.servers[0], true)
		go func() {
			time.Sleep(600 * time.Millisecond)
			f.servers[1].setState(rpc.LeaderInfo{Term: 2, IsLeader: true}, nil)
		}()
		code, took := f.call(rpc.KindSubmitJob, 3*time.Second)
		if code != rpc.CodeOK || took > timing.RequestAttemptTimeout+400*time.Millisecond {
			t.Errorf("code %d after %v", code, took)
		}
		f.partition(f.servers[0], false)
	})
}

// TestLateProbeResultIsUsed checks that an answer for which a search did not wait is used when it
// arrives.
func TestLateProbeResultIsUsed(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		f.net.SetDelay(f.servers[0].ip, discovery.ShortStragglerTimeout*2/3)
		if code, took := f.call(rpc.KindSubmitJob, 3*time.Second); code != rpc.CodeOK || took > time.Second {
			t.Errorf("code %d after %v", code, took)
		}
	})
}

// TestProbeTimeoutMustExceedRoundTripTime checks that a leader behind a slow link is found if
// ProbeTimeout is longer than the round-trip time, and never found with the default.
func TestProbeTimeoutMustExceedRoundTripTime(t *testing.T) {
	for _, c := range []struct {
		probeTimeout time.Duration
		want         rpc.Code
	}{
		{0, rpc.CodeNoLeader},
		{time.Second, rpc.CodeOK},
	} {
		withServers(t, 3, func(f *fixture) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f.net.SetDelay(f.clientIP, 200*time.Millisecond)
			var seeds []string
			for _, server := range f.servers {
				seeds = append(seeds, server.addr)
			}
			f.client = discovery.NewClient(discovery.Options{Seeds: seeds, ProbeTimeout: c.probeTimeout, AttemptTimeout: time.Second})
			go f.client.Run(transport.WithNetwork(ctx, f.net.Host(f.clientIP)))
			if code, took := f.call(rpc.KindGetLimits, 5*time.Second); code != c.want {
				t.Errorf("ProbeTimeout %v: code %d after %v, want %d", c.probeTimeout, code, took, c.want)
			}
		})
	}
}

// TestCallsDoNotBlockAfterRunReturned checks that calls to a client whose loop has returned do not
// block, even if there are more of them than its queue holds.
func TestCallsDoNotBlockAfterRunReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := discovery.NewClient(discovery.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		client.Run(ctx)
		for range 10_000 {
			client.AddServer("10.0.0.1:1")
			client.SetSeeds(nil)
		}
		if known := client.KnownServers(); known != nil {
			t.Errorf("KnownServers returned %v after Run returned, want nil", known)
		}
	})
}

// TestHeldRequestIsRetriedOnlyAfterHoldTime checks that a leader may hold a request for the time that
// its context allows. Only after that is the leader unresponsive and the request sent to the next one.
func TestHeldRequestIsRetriedOnlyAfterHoldTime(t *testing.T) {
	withServers(t, 2, func(f *fixture) {
		var sent atomic.Int64
		f.servers[0].setState(rpc.LeaderInfo{Term: 1, IsLeader: true}, func(request rpc.Request) (rpc.Response, bool) {
			if request.Kind == rpc.KindWatchKeys {
				sent.Add(1)
			}
			return rpc.Response{}, false
		})
		ctx, cancel := context.WithTimeout(discovery.WithMaxHold(context.Background(), 3*time.Second), 20*time.Second)
		defer cancel()
		answered := make(chan time.Time, 1)
		start := time.Now()
		go func() {
			f.client.Call(ctx, rpc.KindWatchKeys, struct{}{})
			answered <- time.Now()
		}()
		time.Sleep(3 * time.Second)
		if n := sent.Load(); n != 1 {
			t.Errorf("the request was sent %d times within its hold time, want 1", n)
		}
		f.servers[0].setState(rpc.LeaderInfo{Term: 1}, nil)
		f.servers[1].setState(rpc.LeaderInfo{Term: 2, IsLeader: true}, nil)
		if took := (<-answered).Sub(start); took < 3*time.Second || took > 3*time.Second+4*timing.RequestAttemptTimeout {
			t.Errorf("the next leader answered after %v", took)
		}
	})
}
