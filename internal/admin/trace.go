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

// TraceStep is one event of a change at one daemon.
type TraceStep struct {
	Node string // node name of the daemon
	tracing.Event
}

// ChangeTrace is the trace of a change through the daemons.
type ChangeTrace struct {
	Steps []TraceStep // ordered by the daemons' clocks
	// Unreachable are the names of the known daemons that did not respond.
	Unreachable []string
	// EventsSince maps the node name of each daemon that has discarded events to the time from
	// which it has kept them, in nanoseconds since the Unix epoch.
	EventsSince map[string]int64
}

// TraceChange collects the events of a change from all daemons. The ID is a job's ID, a task's name
// or desired/VERSION. The error is ErrUnreachable if none of the seeds responded.
func TraceChange(ctx context.Context, seeds []string, id string) (ChangeTrace, error) {
	servers, members, err := ListMembers(ctx, seeds)
	if err != nil {
		return ChangeTrace{}, err
	}
	nodeNames := map[string]string{}
	for _, address := range slices.Concat(seeds, servers) {
		nodeNames[address] = address
	}
	for _, member := range members {
		nodeNames[member.Addr] = member.Node
	}
	addresses := slices.Sorted(maps.Keys(nodeNames))
	responses := callAll(ctx, addresses, rpc.KindTrace, []byte(id))
	change := ChangeTrace{EventsSince: map[string]int64{}}
	for _, address := range addresses {
		response, ok := responses[address]
		var result rpc.TraceResult
		if !ok || transport.Decode(response.Body, &result) != nil {
			change.Unreachable = append(change.Unreachable, nodeNames[address])
			continue
		}
		if result.Since > 0 {
			change.EventsSince[result.Node] = result.Since
		}
		for _, event := range result.Events {
			change.Steps = append(change.Steps, TraceStep{result.Node, event})
		}
	}
	sort.SliceStable(change.Steps, func(a, b int) bool { return change.Steps[a].TimeNs < change.Steps[b].TimeNs })
	return change, nil
}
