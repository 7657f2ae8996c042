package admin

import (
	"context"
	"maps"
	"slices"
	"sort"

	"tealpond/internal/rpc"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// TraceStep is one event of a change in one daemon.
type TraceStep struct {
	Node string // the machine's name
	tracing.Event
}

// ChangeTrace is a change's way through the daemons.
type ChangeTrace struct {
	Steps []TraceStep // in the order of the daemons' clocks
	// Unreachable are the daemons that are known of but gave no answer.
	Unreachable []string
	// RemembersSince holds, for each machine whose daemon has forgotten events, the
	// time of day in ns from which on it remembers them.
	RemembersSince map[string]int64
}

// TraceChange asks all daemons for the events of a change, which is named by a job's
// ID, a task's name or desired/VERSION. The error is ErrUnreachable if none of the
// seeds answered.
func TraceChange(ctx context.Context, seeds []string, id string) (ChangeTrace, error) {
	servers, members, err := ListMembers(ctx, seeds)
	if err != nil {
		return ChangeTrace{}, err
	}
	nameOf := map[string]string{}
	for _, address := range slices.Concat(seeds, servers) {
		nameOf[address] = address
	}
	for _, member := range members {
		nameOf[member.Addr] = member.Node
	}
	addresses := slices.Sorted(maps.Keys(nameOf))
	responses := callAll(ctx, addresses, rpc.KindTrace, []byte(id))
	change := ChangeTrace{RemembersSince: map[string]int64{}}
	for _, address := range addresses {
		response, ok := responses[address]
		var result rpc.TraceResult
		if !ok || transport.Decode(response.Body, &result) != nil {
			change.Unreachable = append(change.Unreachable, nameOf[address])
			continue
		}
		if result.Since > 0 {
			change.RemembersSince[result.Node] = result.Since
		}
		for _, event := range result.Events {
			change.Steps = append(change.Steps, TraceStep{result.Node, event})
		}
	}
	sort.SliceStable(change.Steps, func(a, b int) bool { return change.Steps[a].TimeNs < change.Steps[b].TimeNs })
	return change, nil
}
