// Package fleet is for operators: it follows a change through all daemons and
// answers SQL-like queries on the fleet's state. It only reads.
package fleet

import (
	"context"
	"sync"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"tealpond/internal/member"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// Error is the class of faults of tools.
var Error = errs.Class("fleet")

// ErrNobody means that no daemon answered.
var ErrNobody = Error.New("no daemon reachable")

// Members lists the core daemons known at the given addresses and, if there
// is a leader, all daemons that hold a membership lease.
func Members(ctx context.Context, at []string) (core []string, all []member.Claim, err error) {
	seen := map[string]bool{}
	heard := false
	for _, a := range at {
		r, e := member.AskAt(ctx, a, member.AskLead, nil, tune.ToolRound)
		var v member.View
		if e != nil || transport.Decode(r.Body, &v) != nil {
			continue
		}
		heard = true
		for _, k := range v.Known {
			if !seen[k] {
				seen[k] = true
				core = append(core, k)
			}
		}
	}
	if !heard {
		return nil, nil, ErrNobody
	}
	run, stop := context.WithCancel(ctx)
	defer stop()
	s := member.NewSeeker(log.NewNopLogger(), "", append(append([]string(nil), at...), core...), nil, nil, nil)
	go func() { _ = s.Run(run) }()
	x, done := context.WithTimeout(ctx, tune.ToolRound)
	defer done()
	if r := s.Ask(x, member.AskMembers, struct{}{}); r.Code == 200 {
		_ = transport.Decode(r.Body, &all)
	}
	return core, all, nil
}

// each asks many daemons side by side.
func each(ctx context.Context, addrs []string, kind string, body []byte) map[string]member.Answer {
	out := map[string]member.Answer{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, a := range addrs {
		all.Add(1)
		go func() {
			defer all.Done()
			r, err := member.AskAt(ctx, a, kind, body, tune.ToolRound)
			if err != nil {
				return
			}
			mu.Lock()
			out[a] = r
			mu.Unlock()
		}()
	}
	all.Wait()
	return out
}
