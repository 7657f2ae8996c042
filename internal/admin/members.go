// Package admin is for operators: it follows a change through all daemons and
// answers SQL-like queries on the fleet's state. It only reads.
package admin

import (
	"context"
	"slices"
	"sync"

	"github.com/zeebo/errs"

	"tealpond/internal/discovery"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// Error is the class of faults of tools.
var Error = errs.Class("fleet")

// ErrUnreachable means that no daemon answered.
var ErrUnreachable = Error.New("no daemon reachable")

// ListMembers lists the core daemons known at the given addresses and, if there
// is a leader, all daemons that hold a membership lease.
func ListMembers(ctx context.Context, addresses []string) (servers []string, members []rpc.MembershipLease, err error) {
	seen := map[string]bool{}
	answered := false
	for _, address := range addresses {
		response, callErr := rpc.Call(ctx, address, rpc.KindLeader, nil, tuning.ToolRequestTimeout)
		var info rpc.LeaderInfo
		if callErr != nil || transport.Decode(response.Body, &info) != nil {
			continue
		}
		answered = true
		for _, server := range info.KnownServers {
			if !seen[server] {
				seen[server] = true
				servers = append(servers, server)
			}
		}
	}
	if !answered {
		return nil, nil, ErrUnreachable
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	client := discovery.NewClient(discovery.Options{Seeds: slices.Concat(addresses, servers)})
	go client.Run(runCtx)
	callCtx, done := context.WithTimeout(ctx, tuning.ToolRequestTimeout)
	defer done()
	if response := client.Call(callCtx, rpc.KindListMembers, struct{}{}); response.Code == 200 {
		_ = transport.Decode(response.Body, &members)
	}
	return servers, members, nil
}

// callAll asks many daemons side by side.
func callAll(ctx context.Context, addresses []string, kind string, body []byte) map[string]rpc.Response {
	responses := map[string]rpc.Response{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Add(1)
		go func() {
			defer calls.Done()
			response, err := rpc.Call(ctx, address, kind, body, tuning.ToolRequestTimeout)
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
