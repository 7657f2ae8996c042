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

// fakeServer stands in for a server: it says who leads, and responds as the test
// wants.
type fakeServer struct {
	addr string
	ip   string

	mu      sync.Mutex
	info    rpc.LeaderInfo
	respond func(request rpc.Request) (rpc.Response, bool)
}

// become changes what a server says of itself and, unless respond is nil, how it
// responds.
func (s *fakeServer) become(info rpc.LeaderInfo, respond func(request rpc.Request) (rpc.Response, bool)) {
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

// fixture is a network with one client and some servers.
type fixture struct {
	t        *testing.T
	net      *simulation.Network
	servers  []*fakeServer
	client   *discovery.Client
	clientIP string
}

// serve opens a server's port.
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

// cut cuts the client off from a server, both ways, or joins them again.
func (f *fixture) cut(server *fakeServer, cut bool) {
	for _, pair := range [][2]string{{f.clientIP, server.ip}, {server.ip, f.clientIP}} {
		if cut {
			f.net.Block(pair[0], pair[1])
		} else {
			f.net.Unblock(pair[0], pair[1])
		}
	}
}

// call sends a request and gives the code of the response and how long it took.
func (f *fixture) call(kind string, timeout time.Duration) (rpc.Code, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := time.Now()
	response := f.client.Call(ctx, kind, struct{}{})
	return response.Code, time.Since(start)
}

// withServers runs a test with a client that knows n servers as seeds; the first of
// them leads, and all respond with CodeOK and their number as the value.
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

// TestRequestsFailFastWhileNoLeaderIsReachable: while it is known that no leader
// is in reach, an operator's request ends at once, and a client's soon; at first
// both wait as long as an election takes, the operator's less than the second
// after which the operator turns to the next daemon.
func TestRequestsFailFastWhileNoLeaderIsReachable(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		if code, _ := f.call(rpc.KindGetConfig, time.Second); code != rpc.CodeOK {
			t.Fatalf("before the cut: %d", code)
		}
		for _, server := range f.servers {
			f.cut(server, true)
		}
		// The cut is noticed by the silence after this one.
		if code, _ := f.call(rpc.KindPutConfig, time.Second); code != rpc.CodeTimeout {
			t.Errorf("sent into the cut: code %d", code)
		}
		if code, took := f.call(rpc.KindPutConfig, time.Second); code != rpc.CodeNoLeader || took > discovery.OperatorLeaderWait+10*time.Millisecond {
			t.Errorf("an operator, soon after the loss: code %d after %v", code, took)
		}
		time.Sleep(2 * time.Second)
		for range 20 {
			if code, took := f.call(rpc.KindGetConfig, time.Second); code != rpc.CodeNoLeader || took > 20*time.Millisecond {
				t.Errorf("an operator, long after the loss: code %d after %v", code, took)
			}
			if code, took := f.call(rpc.KindSubmitJob, 3*time.Second); code != rpc.CodeNoLeader || took > discovery.KnownNoLeaderWait+10*time.Millisecond {
				t.Errorf("a client, long after the loss: code %d after %v", code, took)
			}
			if code, took := f.call(rpc.KindRenewMembership, 3*time.Second); code != rpc.CodeNoLeader || took < discovery.LeaderWaitTimeout {
				t.Errorf("a daemon's own request: code %d after %v", code, took)
			}
		}
		for _, server := range f.servers {
			f.cut(server, false)
		}
		time.Sleep(time.Second)
		if code, _ := f.call(rpc.KindGetConfig, time.Second); code != rpc.CodeOK {
			t.Errorf("after the cut: %d", code)
		}
	})
}

// TestClientRequestWaitsThroughElection: a leader is found a second after the old
// one was lost, and a client's request has waited for it.
func TestClientRequestWaitsThroughElection(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		f.call(rpc.KindGetConfig, time.Second)
		f.servers[0].become(rpc.LeaderInfo{}, respondNotLeader)
		go func() {
			time.Sleep(800 * time.Millisecond)
			f.servers[1].become(rpc.LeaderInfo{Term: 2, IsLeader: true}, nil)
		}()
		if code, took := f.call(rpc.KindSubmitJob, 3*time.Second); code != rpc.CodeOK {
			t.Errorf("code %d after %v", code, took)
		}
	})
}

// TestNoLeaderIsReportedOnlyIfRequestWasNeverTaken: CodeNoLeader may end a request
// that a leader said it didn't take; it may not end one that was left without a
// response, whatever came after, also when its caller's time ends first.
func TestNoLeaderIsReportedOnlyIfRequestWasNeverTaken(t *testing.T) {
	for _, test := range []struct {
		name string
		code rpc.Code
		ok   bool
		want rpc.Code
	}{
		{"not the leader any more", rpc.CodeNotLeader, true, rpc.CodeNoLeader},
		{"lost its term with the request under way", rpc.CodeLeadershipLost, true, rpc.CodeTimeout},
		{"silent", 0, false, rpc.CodeTimeout},
	} {
		for _, timeout := range []time.Duration{700 * time.Millisecond, 3 * time.Second} {
			withServers(t, 3, func(f *fixture) {
				f.call(rpc.KindGetConfig, time.Second)
				server := f.servers[0]
				server.become(rpc.LeaderInfo{Term: 1, IsLeader: true}, func(rpc.Request) (rpc.Response, bool) {
					server.info.IsLeader = false
					return rpc.Response{Code: test.code}, test.ok
				})
				if code, took := f.call(rpc.KindSubmitJob, timeout); code != test.want {
					t.Errorf("%s, within %v: code %d after %v, want %d", test.name, timeout, code, took, test.want)
				}
			})
		}
	}
}

// TestServerAtReusedLeaderAddressGetsNoRequests: addresses are reused, so a server
// must say that it leads before it gets requests.
func TestServerAtReusedLeaderAddressGetsNoRequests(t *testing.T) {
	withServers(t, 2, func(f *fixture) {
		f.call(rpc.KindGetConfig, time.Second)
		old, successor := f.servers[0], f.servers[1]
		f.net.TakeDown(old.ip)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		requests := 0
		old.become(rpc.LeaderInfo{}, func(rpc.Request) (rpc.Response, bool) { requests++; return rpc.Response{}, false })
		successor.become(rpc.LeaderInfo{Term: 2, IsLeader: true, Leader: old.addr}, nil)
		f.serve(ctx, old)
		callCtx, done := context.WithTimeout(context.Background(), 3*time.Second)
		defer done()
		if response := f.client.Call(callCtx, rpc.KindSubmitJob, struct{}{}); response.Code != rpc.CodeOK || response.Value != 1 {
			t.Errorf("code %d, answer %d", response.Code, response.Value)
		}
		if requests != 0 {
			t.Error("the request went to whoever has the old leader's address now")
		}
	})
}

// TestNewLeaderIsFoundWhileOldOneHangs: the old leader says nothing, also not that
// its port is closed; a search at all addresses must not wait for it.
func TestNewLeaderIsFoundWhileOldOneHangs(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		f.call(rpc.KindGetConfig, time.Second)
		f.cut(f.servers[0], true)
		go func() {
			time.Sleep(600 * time.Millisecond)
			f.servers[1].become(rpc.LeaderInfo{Term: 2, IsLeader: true}, nil)
		}()
		code, took := f.call(rpc.KindSubmitJob, 3*time.Second)
		if code != rpc.CodeOK || took > timing.RequestAttemptTimeout+400*time.Millisecond {
			t.Errorf("code %d after %v", code, took)
		}
		f.cut(f.servers[0], false)
	})
}

// TestLateProbeResultIsUsed: what a search didn't wait for counts when it comes.
func TestLateProbeResultIsUsed(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		f.net.SetDelay(f.servers[0].ip, discovery.HangingDaemonWait*2/3)
		if code, took := f.call(rpc.KindSubmitJob, 3*time.Second); code != rpc.CodeOK || took > time.Second {
			t.Errorf("code %d after %v", code, took)
		}
	})
}

// TestLeaderBehindASlowLink: with a time for probes above the way there and back the leader
// is found; with the usual one it never is.
func TestLeaderBehindASlowLink(t *testing.T) {
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
				t.Errorf("probes of %v: code %d after %v, want %d", c.probeTimeout, code, took, c.want)
			}
		})
	}
}

// TestNobodyWaitsForAClientThatEnded: what is said to a client after its loop has ended,
// more than its queue holds, blocks nobody.
func TestNobodyWaitsForAClientThatEnded(t *testing.T) {
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
			t.Errorf("a client that ended knows %v", known)
		}
	})
}

// TestHeldRequestIsNotSilence: a leader may hold a request for as long as its context says;
// only then is it silent, and the request goes to the next one.
func TestHeldRequestIsNotSilence(t *testing.T) {
	withServers(t, 2, func(f *fixture) {
		var sent atomic.Int64
		f.servers[0].become(rpc.LeaderInfo{Term: 1, IsLeader: true}, func(request rpc.Request) (rpc.Response, bool) {
			if request.Kind == rpc.KindWatchKeys {
				sent.Add(1)
			}
			return rpc.Response{}, false
		})
		ctx, cancel := context.WithTimeout(discovery.WithHold(context.Background(), 3*time.Second), 20*time.Second)
		defer cancel()
		answered := make(chan time.Time, 1)
		start := time.Now()
		go func() {
			f.client.Call(ctx, rpc.KindWatchKeys, struct{}{})
			answered <- time.Now()
		}()
		time.Sleep(3 * time.Second)
		if n := sent.Load(); n != 1 {
			t.Errorf("the leader was sent it %d times while it may hold it", n)
		}
		f.servers[0].become(rpc.LeaderInfo{Term: 1}, nil)
		f.servers[1].become(rpc.LeaderInfo{Term: 2, IsLeader: true}, nil)
		if took := (<-answered).Sub(start); took < 3*time.Second || took > 3*time.Second+4*timing.RequestAttemptTimeout {
			t.Errorf("answered by the next leader after %v", took)
		}
	})
}
