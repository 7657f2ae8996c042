package admin

import (
	"context"
	"sort"

	"tealpond/internal/rpc"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// TraceStep is one mark of one daemon.
type TraceStep struct {
	Node string
	tracing.Event
}

// ChangeTrace is a change's way through the daemons.
type ChangeTrace struct {
	Steps []TraceStep
	// Unreachable daemons were named but didn't answer; Since tells of each
	// daemon that has forgotten marks how far back it remembers.
	Unreachable    []string
	RemembersSince map[string]int64
}

// TraceChange asks all daemons for their marks of a change: a job's ID, a task's
// name or desired/VERSION.
func TraceChange(ctx context.Context, seeds []string, id string) (ChangeTrace, error) {
	servers, members, err := ListMembers(ctx, seeds)
	if err != nil {
		return ChangeTrace{}, err
	}
	nameOf := map[string]string{}
	for _, a := range append(append([]string(nil), seeds...), servers...) {
		nameOf[a] = a
	}
	for _, mark := range members {
		nameOf[mark.Addr] = mark.Node
	}
	var addresses []string
	for a := range nameOf {
		addresses = append(addresses, a)
	}
	sort.Strings(addresses)
	responses := callAll(ctx, addresses, rpc.KindTrace, []byte(id))
	change := ChangeTrace{RemembersSince: map[string]int64{}}
	for _, a := range addresses {
		response, ok := responses[a]
		var result rpc.TraceResult
		if !ok || transport.Decode(response.Body, &result) != nil {
			change.Unreachable = append(change.Unreachable, nameOf[a])
			continue
		}
		if result.Since > 0 {
			change.RemembersSince[result.Node] = result.Since
		}
		for _, mark := range result.Marks {
			change.Steps = append(change.Steps, TraceStep{result.Node, mark})
		}
	}
	sort.SliceStable(change.Steps, func(a, b int) bool { return change.Steps[a].TimeNs < change.Steps[b].TimeNs })
	return change, nil
}
