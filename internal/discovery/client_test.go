package discovery_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/discovery"
	"tealpond/internal/rpc"
	"tealpond/internal/simulation"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// fakeServer is a stand-in for a core daemon: it tells who leads, and answers what
// it is told to.
type fakeServer struct {
	addr string
	ip   string

	mu      sync.Mutex
	info    rpc.LeaderInfo
	respond func(ask rpc.Request) (rpc.Response, bool)
}

// become changes what a daemon says of itself and how it answers.
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
		return rpc.Response{Code: 200, Body: transport.Encode(s.info)}, true
	}
	return s.respond(request)
}

// fixture is a network with one seeker and some daemons.
type fixture struct {
	t        *testing.T
	net      *simulation.Network
	servers  []*fakeServer
	client   *discovery.Client
	clientIP string
}

func (f *fixture) serve(ctx context.Context, server *fakeServer) {
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

// cut cuts the seeker off from a daemon, both ways, or joins them again.
func (f *fixture) cut(server *fakeServer, cut bool) {
	for _, pair := range [][2]string{{f.clientIP, server.ip}, {server.ip, f.clientIP}} {
		if cut {
			f.net.Block(pair[0], pair[1])
		} else {
			f.net.Unblock(pair[0], pair[1])
		}
	}
}

// call asks and tells the code of the answer and how long it took.
func (f *fixture) call(kind string, timeout time.Duration) (int, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := time.Now()
	response := f.client.Call(ctx, kind, struct{}{})
	return response.Code, time.Since(start)
}

// withServers runs a test with a seeker that knows n daemons as seeds; the first of
// them leads, and all answer asks with 200 and their number as N.
func withServers(t *testing.T, n int, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fixture{t: t, net: simulation.NewNetwork(), clientIP: "10.0.0.100"}
		var seeds []string
		for i := range n {
			ip := fmt.Sprint("10.0.0.", i+1)
			server := &fakeServer{ip: ip, addr: ip + ":7720", info: rpc.LeaderInfo{Term: 1, IsLeader: i == 0}}
			server.respond = func(rpc.Request) (rpc.Response, bool) { return rpc.Response{Code: 200, Value: int64(i)}, true }
			f.servers = append(f.servers, server)
			f.serve(ctx, server)
			seeds = append(seeds, server.addr)
		}
		f.client = discovery.NewClient(log.NewNopLogger(), "", seeds, nil, nil, nil)
		go func() { _ = f.client.Run(transport.WithNetwork(ctx, f.net.Host(f.clientIP))) }()
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

// TestRequestsFailFastWhileNoLeaderIsReachable: while it is known that no leader is in reach,
// an operator is told so at once, and a client soon; at first both wait as long
// as an election takes, the operator less than the second after which it goes
// on by itself.
func TestRequestsFailFastWhileNoLeaderIsReachable(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		if code, _ := f.call(rpc.KindGetConfig, time.Second); code != 200 {
			t.Fatalf("before the cut: %d", code)
		}
		for _, server := range f.servers {
			f.cut(server, true)
		}
		// The cut is noticed by the silence after this one.
		if code, _ := f.call(rpc.KindPutConfig, time.Second); code != rpc.CodeTimeout {
			t.Errorf("sent into the cut: code %d", code)
		}
		if code, took := f.call(rpc.KindPutConfig, time.Second); code != rpc.CodeNoLeader || took > tuning.OperatorLeaderWait+10*time.Millisecond {
			t.Errorf("an operator, soon after the loss: code %d after %v", code, took)
		}
		time.Sleep(2 * time.Second)
		for range 20 {
			if code, took := f.call(rpc.KindGetConfig, time.Second); code != rpc.CodeNoLeader || took > 20*time.Millisecond {
				t.Errorf("an operator, long after the loss: code %d after %v", code, took)
			}
			if code, took := f.call(rpc.KindSubmitJob, 3*time.Second); code != rpc.CodeNoLeader || took > tuning.KnownNoLeaderWait+10*time.Millisecond {
				t.Errorf("a client, long after the loss: code %d after %v", code, took)
			}
			if code, took := f.call(rpc.KindRenewMembership, 3*time.Second); code != rpc.CodeNoLeader || took < tuning.LeaderWaitTimeout {
				t.Errorf("a daemon's own ask: code %d after %v", code, took)
			}
		}
		for _, server := range f.servers {
			f.cut(server, false)
		}
		time.Sleep(time.Second)
		if code, _ := f.call(rpc.KindGetConfig, time.Second); code != 200 {
			t.Errorf("after the cut: %d", code)
		}
	})
}

// TestClientRequestWaitsThroughElection: a leader is found a second after the old
// one was lost, and a client's call has waited for it.
func TestClientRequestWaitsThroughElection(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		f.call(rpc.KindGetConfig, time.Second)
		f.servers[0].become(rpc.LeaderInfo{}, respondNotLeader)
		go func() {
			time.Sleep(800 * time.Millisecond)
			f.servers[1].become(rpc.LeaderInfo{Term: 2, IsLeader: true}, nil)
		}()
		if code, took := f.call(rpc.KindSubmitJob, 3*time.Second); code != 200 {
			t.Errorf("code %d after %v", code, took)
		}
	})
}

// TestNoLeaderIsReportedOnlyIfRequestWasNeverTaken: an ask that a leader said it didn't
// take may be refused; one that was left without an answer may not, whatever
// came after, also when its caller's time ends first.
func TestNoLeaderIsReportedOnlyIfRequestWasNeverTaken(t *testing.T) {
	for _, test := range []struct {
		name string
		code int
		ok   bool
		want int
	}{
		{"not the leader any more", rpc.CodeNotLeader, true, rpc.CodeNoLeader},
		{"lost its term with the ask under way", rpc.CodeLeadershipLost, true, rpc.CodeTimeout},
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

// TestServerAtReusedLeaderAddressGetsNoRequests: addresses are reused.
func TestServerAtReusedLeaderAddressGetsNoRequests(t *testing.T) {
	withServers(t, 2, func(f *fixture) {
		f.call(rpc.KindGetConfig, time.Second)
		old, successor := f.servers[0], f.servers[1]
		f.net.TakeDown(old.ip)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		requests := 0
		old.become(rpc.LeaderInfo{}, func(rpc.Request) (rpc.Response, bool) { requests++; return rpc.Response{}, false })
		successor.become(rpc.LeaderInfo{Term: 2, IsLeader: true, Leader: old.addr}, nil)
		f.serve(ctx, old)
		callCtx, done := context.WithTimeout(context.Background(), 3*time.Second)
		defer done()
		if response := f.client.Call(callCtx, rpc.KindSubmitJob, struct{}{}); response.Code != 200 || response.Value != 1 {
			t.Errorf("code %d, answer %d", response.Code, response.Value)
		}
		if requests != 0 {
			t.Error("the ask went to whoever has the old leader's address now")
		}
	})
}

// TestNewLeaderIsFoundWhileOldOneHangs: the old leader says nothing, also
// not that its port is closed; a look at all places must not wait for it.
func TestNewLeaderIsFoundWhileOldOneHangs(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		f.call(rpc.KindGetConfig, time.Second)
		f.cut(f.servers[0], true)
		go func() {
			time.Sleep(600 * time.Millisecond)
			f.servers[1].become(rpc.LeaderInfo{Term: 2, IsLeader: true}, nil)
		}()
		code, took := f.call(rpc.KindSubmitJob, 3*time.Second)
		if code != 200 || took > tuning.RequestAttemptTimeout+400*time.Millisecond {
			t.Errorf("code %d after %v", code, took)
		}
		f.cut(f.servers[0], false)
	})
}

// TestLateProbeResultIsUsed: what a look didn't wait for counts when it comes.
func TestLateProbeResultIsUsed(t *testing.T) {
	withServers(t, 3, func(f *fixture) {
		f.net.SetDelay(f.servers[0].ip, tuning.DiscoveryStragglerWait*2/3)
		if code, took := f.call(rpc.KindSubmitJob, 3*time.Second); code != 200 || took > time.Second {
			t.Errorf("code %d after %v", code, took)
		}
	})
}
