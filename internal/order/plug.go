package order

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/kernel"
	"tealpond/internal/member"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

func init() {
	kernel.Register(kernel.Maker{Role: "side", About: "orders the runner on its machine", Make: func(b kernel.Base) (kernel.Plug, error) {
		return New(b, newDutyCaller(b.Setting.App)), nil
	}})
}

// New builds the side daemon's plug over a way to call its runner.
func New(b kernel.Base, c Caller) kernel.Plug { return &plug{Side: newSide(b, c), base: b} }

type plug struct {
	*Side
	base kernel.Base
}

// Run serves the runner's calls and turns the loop.
func (p *plug) Run(ctx context.Context) error {
	s := p.Side
	s.ctx = ctx
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/-/Runners.Heartbeat/:id", s.serveBeat)
	e.POST("/-/Runners.SignOff/:id", s.serveOff)
	ln, err := transport.Listen(ctx, s.set.ListenAddrs.ControlAddr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: e, ReadHeaderTimeout: tune.HeadTime, IdleTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }()
	go func() { _ = s.seek.Run(ctx) }()
	if err := transport.Serve(ctx, s.set.InnerSide(), s.onLink); err != nil {
		// Why not fatal: only traces need it.
		_ = s.log.Log("level", "warn", "event", "trace.unserved", "why", err)
	}
	go s.renewMembership(ctx)
	go func() {
		for {
			select {
			case n := <-p.base.Reload:
				s.seek.Seeds(n.Seeds())
			case <-ctx.Done():
				return
			}
		}
	}()
	kernel.Loop(ctx, s.in, s.take, s.rest)
	_ = srv.Close()
	return nil
}

// onLink answers a tracer.
func (s *Side) onLink(ev transport.Event) {
	var a member.Ask
	if ev.Closed || ev.Frame.Kind != member.FrameAsk || transport.Decode(ev.Frame.Body, &a) != nil {
		return
	}
	r := member.Answer{Code: 400}
	if a.Kind == member.AskTrace {
		r = member.AnswerTrace(s.trace, s.set.NodeName, "side", a.Body)
	}
	ev.Stream.Send(transport.Frame{Kind: member.FrameAnswer, ID: ev.Frame.ID, Body: transport.Encode(r)})
}

// renewMembership renews this daemon's membership.
func (s *Side) renewMembership(ctx context.Context) {
	t := time.NewTicker(tune.SideClaim)
	defer t.Stop()
	for {
		x, stop := context.WithTimeout(ctx, tune.SideClaim)
		s.seek.Ask(x, member.AskClaim, member.Claim{Node: s.set.NodeName, Role: "side", Zone: s.set.Zone, Addr: s.set.InnerSide(), Life: s.me})
		stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// serveBeat: POST /-/Runners.Heartbeat/ID with a Beat; 200 once heard.
func (s *Side) serveBeat(c echo.Context) error {
	var b wire.Beat
	if err := c.Echo().JSONSerializer.Deserialize(c, &b); err != nil {
		return c.String(http.StatusBadRequest, "the beat cannot be read")
	}
	in := &beatIn{id: c.Param("id"), beat: b, done: make(chan int, 1)}
	return s.wait(c, Event{beat: in}, in.done)
}

// serveOff: POST /-/Runners.SignOff/ID; 200 once committed.
func (s *Side) serveOff(c echo.Context) error {
	in := &offIn{id: c.Param("id"), done: make(chan int, 1)}
	return s.wait(c, Event{off: in}, in.done)
}

func (s *Side) wait(c echo.Context, e Event, done chan int) error {
	s.in <- e
	t := time.NewTimer(970 * time.Millisecond)
	defer t.Stop()
	select {
	case code := <-done:
		if code == 200 {
			return c.JSONBlob(200, []byte("{}"))
		}
		return c.NoContent(code)
	case <-t.C:
		return c.NoContent(http.StatusServiceUnavailable)
	case <-s.ctx.Done():
		return c.NoContent(http.StatusServiceUnavailable)
	}
}
