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

// RequestTimeout is how long a request to one daemon may take.
const RequestTimeout = 2 * time.Second

// Error is the class of errors of this package.
var Error = errs.Class("fleet")

// ErrUnreachable means that no daemon responded.
var ErrUnreachable = Error.New("no daemon reachable")

// ListMembers returns the addresses of the servers known to the daemons at the given addresses and,
// if there is a leader, all daemons with a valid membership lease. The error is ErrUnreachable if
// none of the given daemons responded.
func ListMembers(ctx context.Context, addresses []string) (servers []string, members []rpc.MembershipLease, err error) {
	servers, responded := listServers(ctx, addresses)
	if !responded {
		return nil, nil, ErrUnreachable
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	client := discovery.NewClient(discovery.Options{Seeds: slices.Concat(addresses, servers)})
	go client.Run(runCtx)
	callCtx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	response := client.Call(callCtx, rpc.KindListMembers, struct{}{})
	if response.Code != rpc.CodeOK || transport.Decode(response.Body, &members) != nil {
		// The servers are known even if there is no leader or its list of members can't be read.
		return servers, nil, nil
	}
	return servers, members, nil
}

// listServers returns the addresses of the servers known to the daemons at the given addresses;
// false if none responded.
func listServers(ctx context.Context, addresses []string) (servers []string, responded bool) {
	for _, address := range addresses {
		response, err := rpc.Call(ctx, address, rpc.KindLeader, nil, RequestTimeout)
		var info rpc.LeaderInfo
		if err != nil || transport.Decode(response.Body, &info) != nil {
			continue
		}
		responded = true
		for _, server := range info.KnownServers {
			if !slices.Contains(servers, server) {
				servers = append(servers, server)
			}
		}
	}
	return servers, responded
}

// callAll sends a request to several daemons concurrently and returns the responses by address.
// Failed calls are left out.
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
