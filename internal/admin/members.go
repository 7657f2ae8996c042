package admin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"tealpond/internal/discovery"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// RequestTimeout is how long a tool waits for one daemon.
const RequestTimeout = 2 * time.Second

// Error is the class of errors of this package.
var Error = errs.Class("fleet")

// ErrUnreachable means that no daemon answered.
var ErrUnreachable = Error.New("no daemon reachable")

// ListMembers lists the addresses of the servers that the daemons at the given
// addresses know of and, if there is a leader, all daemons whose membership is
// valid. The error is ErrUnreachable if none of the given daemons answered.
func ListMembers(ctx context.Context, addresses []string) (servers []string, members []rpc.MembershipLease, err error) {
	servers, answered := listServers(ctx, addresses)
	if !answered {
		return nil, nil, ErrUnreachable
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	client := discovery.NewClient(discovery.Options{Seeds: slices.Concat(addresses, servers)})
	go client.Run(runCtx)
	callCtx, done := context.WithTimeout(ctx, RequestTimeout)
	defer done()
	response := client.Call(callCtx, rpc.KindListMembers, struct{}{})
	if response.Code != rpc.CodeOK || transport.Decode(response.Body, &members) != nil {
		// Without a leader, or with one whose list can't be read, the servers are
		// known all the same.
		return servers, nil, nil
	}
	return servers, members, nil
}

// listServers asks the daemons at the addresses for the servers that they know of;
// false if none answered.
func listServers(ctx context.Context, addresses []string) (servers []string, answered bool) {
	for _, address := range addresses {
		response, err := rpc.Call(ctx, address, rpc.KindLeader, nil, RequestTimeout)
		var info rpc.LeaderInfo
		if err != nil || transport.Decode(response.Body, &info) != nil {
			continue
		}
		answered = true
		for _, server := range info.KnownServers {
			if !slices.Contains(servers, server) {
				servers = append(servers, server)
			}
		}
	}
	return servers, answered
}

// callAll sends a request to many daemons at once and gives the responses by
// address; those that failed are left out.
func callAll(ctx context.Context, addresses []string, kind string, body []byte) map[string]rpc.Response {
	responses := map[string]rpc.Response{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Add(1)
		go func() {
			defer calls.Done()
			response, err := rpc.Call(ctx, address, kind, body, RequestTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			responses[address] = response
			mu.Unlock()
		}()
	}
	calls.Wait()
	return responses
}
