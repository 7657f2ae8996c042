// Package door serves clients and operators: it reads a call, asks the leader
// and writes the answer.
package door

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"

	"tealpond/internal/core"
	"tealpond/internal/kernel"
	"tealpond/internal/member"
	"tealpond/internal/move"
	"tealpond/internal/setting"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

func init() {
	kernel.Register(kernel.Maker{Role: "edge", About: "takes clients' and operators' calls; holds state where it has a disk", Moves: true, Make: newEdge})
}

// Edge is the plug of the edge role.
type Edge struct {
	set   setting.Setting
	log   log.Logger
	base  kernel.Base
	core  *core.Core
	mover *move.Mover
	seek  *member.Seeker
	found chan foundIn
	leave atomic.Bool
	// route takes an ask to the leader; tests stand in for it.
	route func(context.Context, member.Ask) member.Answer
	// leader gives the inner address of the leader, if one is known and this
	// daemon isn't of the core; tests stand in for it.
	leader  func() string
	contact *contact
	limits  atomic.Pointer[limits]
	newest  atomic.Int64  // version of the newest configuration heard of
	pull    chan struct{} // a newer one was heard of
}

type foundIn struct {
	m member.Found
	r chan member.Proposal
}

func newEdge(b kernel.Base) (kernel.Plug, error) {
	e := &Edge{set: b.Setting, log: b.Log, base: b, found: make(chan foundIn), contact: newContact(), pull: make(chan struct{}, 1)}
	e.route = e.toLeader
	e.leader = func() string { return "" }
	self := ""
	if b.Setting.Core() {
		// Why only then: others need not know those that hold no state.
		self = b.Setting.Inner()
	}
	e.seek = member.NewSeeker(b.Log, self, b.Setting.Seeds(), nil, e.onNews, nil)
	if !b.Setting.Core() {
		e.leader = e.seek.Speaking
	}
	if b.Setting.Core() {
		c, err := core.New(b, e.seek)
		if err != nil {
			return nil, err
		}
		e.core = c
		if b.Moves != "" {
			set, err := move.Load(b.Moves)
			if err != nil {
				return nil, err
			}
			c.SetMoves(set)
			e.mover = move.New(set, b.Log, c)
		}
	}
	return e, nil
}

// Run serves until ctx ends.
func (e *Edge) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	give := e.onLink
	if e.core != nil {
		give = e.core.Give
	}
	if err := transport.Serve(inner, e.set.Inner(), give); err != nil {
		return err
	}
	go func() { _ = e.seek.Run(inner) }()
	if e.core != nil {
		go func() { _ = e.core.Run(inner) }()
		if e.mover != nil {
			go e.mover.Run(inner)
		}
	} else {
		go e.founding(inner)
	}
	go e.claim(inner)
	go e.news(inner)
	srvs, err := e.serve(inner)
	if err != nil {
		return err
	}
	for {
		select {
		case n := <-e.base.Reload:
			e.seek.Seeds(n.Seeds())
			if e.core != nil {
				e.core.Seeds(n.Seeds())
			}
			continue
		case <-ctx.Done():
		}
		break
	}
	if context.Cause(ctx) == kernel.Killed {
		for _, s := range srvs {
			_ = s.Close()
		}
		return nil
	}
	// Why in this order: no new callers, then hand the lead on, then finish
	// what is under way.
	e.leave.Store(true)
	if e.core != nil {
		e.core.Leave()
	}
	grace := time.Duration(e.set.Bounds.GraceS*float64(time.Second)) / 2
	x, done := context.WithTimeout(context.Background(), grace)
	defer done()
	for _, s := range srvs {
		_ = s.Shutdown(x)
	}
	return nil
}

// onLink answers other daemons where this one holds no state.
func (e *Edge) onLink(ev transport.Event) {
	if ev.Closed || ev.Frame.Kind != member.FrameAsk {
		return
	}
	var a member.Ask
	if transport.Decode(ev.Frame.Body, &a) != nil {
		ev.Stream.Close()
		return
	}
	r := member.Answer{Code: member.NotLead}
	switch a.Kind {
	case member.AskLead:
		if len(a.Body) > 0 {
			e.seek.Learn(string(a.Body))
		}
		v := member.View{Known: e.seek.Known()}
		r = member.Answer{Code: 200, Body: transport.Encode(v)}
	case member.AskTrace:
		r = member.AnswerTrace(e.base.Trace, e.set.NodeName, "edge", a.Body)
	case member.AskFound:
		var f member.Found
		if transport.Decode(a.Body, &f) == nil {
			in := foundIn{f, make(chan member.Proposal, 1)}
			e.found <- in
			r = member.Answer{Code: 200, Body: transport.Encode(<-in.r)}
		}
	}
	ev.Stream.Send(transport.Frame{Kind: member.FrameAnswer, ID: ev.Frame.ID, Body: transport.Encode(r)})
}

func (e *Edge) founding(ctx context.Context) {
	f := member.Founder{Least: 2*e.set.Tolerate.LostMachines + 1}
	kernel.Loop(ctx, e.found, func(in foundIn) { in.r <- f.Take(in.m, time.Now()) }, func(time.Time) time.Duration { return 0 })
}

// claim renews this daemon's membership, which also tests the way to the
// leader and brings the newest version.
func (e *Edge) claim(ctx context.Context) {
	t := time.NewTicker(tune.Claim)
	defer t.Stop()
	for {
		x, stop := context.WithTimeout(ctx, tune.Claim)
		e.Ask(x, member.AskClaim, member.Claim{Node: e.set.NodeName, Role: "edge", Zone: e.set.Zone, Addr: e.set.Inner(), Life: e.base.Life})
		stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// ready tells whether this daemon should be given new callers.
func (e *Edge) ready() bool {
	if e.core != nil && !e.core.Opened() {
		return false
	}
	return !e.leave.Load() && e.contact.within(tune.Fresh)
}

func (e *Edge) serve(ctx context.Context) ([]*http.Server, error) {
	front, ready, ctl := echo.New(), echo.New(), echo.New()
	front.Any("/*", e.serveJob)
	ready.GET("/-/readiness", e.serveReady)
	ctl.POST("/-/Config.Replace", e.servePut)
	ctl.GET("/-/Config.Read", e.serveRead)
	var out []*http.Server
	for _, p := range []struct {
		addr string
		echo *echo.Echo
		idle time.Duration
	}{{e.set.ListenAddrs.FrontHTTP, front, tune.IdleStream}, {e.set.ListenAddrs.Readiness, ready, time.Minute}, {e.set.ListenAddrs.ControlAddr, ctl, tune.IdleStream}} {
		if p.addr == "" {
			continue
		}
		p.echo.HideBanner, p.echo.HidePort = true, true
		ln, err := transport.Listen(ctx, p.addr)
		if err != nil {
			return nil, err
		}
		s := &http.Server{Handler: p.echo, ReadHeaderTimeout: tune.HeadTime, IdleTimeout: p.idle, MaxHeaderBytes: tune.HeadMost}
		out = append(out, s)
		go func() { _ = s.Serve(ln) }()
	}
	return out, nil
}

// serveReady: GET /-/readiness; 200 while the leader is heard.
func (e *Edge) serveReady(c echo.Context) error {
	if e.ready() {
		return c.NoContent(http.StatusOK)
	}
	return c.NoContent(http.StatusServiceUnavailable)
}
