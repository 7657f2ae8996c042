package fleet

import (
	"context"
	"sort"

	"tealpond/internal/member"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// Step is one mark of one daemon.
type Step struct {
	Node string
	tracing.Event
}

// Path is a change's way through the daemons.
type Path struct {
	Steps []Step
	// Silent daemons were named but didn't answer; Since tells of each
	// daemon that has forgotten marks how far back it remembers.
	Silent []string
	Since  map[string]int64
}

// Follow asks all daemons for their marks of a change: a job's ID, a task's
// name or desired/VERSION.
func Follow(ctx context.Context, at []string, id string) (Path, error) {
	core, all, err := Members(ctx, at)
	if err != nil {
		return Path{}, err
	}
	name := map[string]string{}
	for _, a := range append(append([]string(nil), at...), core...) {
		name[a] = a
	}
	for _, m := range all {
		name[m.Addr] = m.Node
	}
	var addrs []string
	for a := range name {
		addrs = append(addrs, a)
	}
	sort.Strings(addrs)
	got := each(ctx, addrs, member.AskTrace, []byte(id))
	p := Path{Since: map[string]int64{}}
	for _, a := range addrs {
		r, ok := got[a]
		var t member.Traced
		if !ok || transport.Decode(r.Body, &t) != nil {
			p.Silent = append(p.Silent, name[a])
			continue
		}
		if t.Since > 0 {
			p.Since[t.Node] = t.Since
		}
		for _, m := range t.Marks {
			p.Steps = append(p.Steps, Step{t.Node, m})
		}
	}
	sort.SliceStable(p.Steps, func(a, b int) bool { return p.Steps[a].TimeNs < p.Steps[b].TimeNs })
	return p, nil
}
