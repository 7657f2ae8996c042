package door

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/desire"
	"tealpond/internal/member"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

// servePut: POST /-/Config.Replace with a configuration on a base.
func (e *Edge) servePut(c echo.Context) error {
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, tune.ControlBytes+1))
	if err != nil {
		return c.String(http.StatusBadRequest, "the body ended early")
	}
	if len(raw) > tune.ControlBytes {
		return c.String(http.StatusRequestEntityTooLarge, "the configuration is too large")
	}
	if len(raw) > tune.RedirectBytes && e.redirect(c) {
		return nil
	}
	base, err := strconv.ParseInt(c.Request().Header.Get(wire.HeadBasedOn), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, wire.HeadBasedOn+": missing or no number")
	}
	st, err := desire.Read(raw)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if err := desire.Check(raw); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	x, stop := e.controlTime(c.Request().Context(), len(raw))
	defer stop()
	id := "desired/" + strconv.FormatInt(st.Version, 10)
	e.base.Trace.Record(id, "taken", base, "")
	a := e.Ask(x, member.AskPut, member.Put{Base: base, Raw: raw})
	e.base.Trace.Record(id, "answered", int64(a.Code), a.Text)
	return e.control(c, a)
}

// serveRead: GET /-/Config.Read gives the newest configuration, as sent. Only a
// leader that a majority has confirmed within its lease answers it.
func (e *Edge) serveRead(c echo.Context) error {
	if e.redirect(c) {
		return nil
	}
	x, stop := e.controlTime(c.Request().Context(), 0)
	defer stop()
	a := e.Ask(x, member.AskRead, struct{}{})
	if a.Code == http.StatusOK {
		return c.JSONBlob(http.StatusOK, a.Body)
	}
	if a.Code < 100 {
		// Why never unclear: a read changes nothing.
		a.Code = member.NoLeader
	}
	return e.control(c, a)
}

// controlTime bounds an operator's call with a body of so many bytes. Operators
// go on to another daemon after a second of silence; one that has no leader in
// reach says so well before, and sooner if it has had none for long.
func (e *Edge) controlTime(ctx context.Context, size int) (context.Context, context.CancelFunc) {
	wait := tune.ControlNoLeader
	if !e.contact.within(tune.Fresh) {
		wait = tune.ControlCutOff
	}
	ctx = member.WithLeaderWait(ctx, wait)
	return context.WithTimeout(ctx, tune.PutTime+time.Duration(size/1024)*tune.PutTimeKB)
}

// control answers an operator's call that brought nothing back. Refusals come
// from the leader alone; all else says when to come again.
func (e *Edge) control(c echo.Context, a member.Answer) error {
	if a.Code == http.StatusOK {
		return c.JSONBlob(http.StatusOK, []byte("{}"))
	}
	code, text := a.Code, a.Text
	switch {
	case a.Code == member.NoLeader:
		code, text = http.StatusServiceUnavailable, "no leader at the moment, nothing was taken"
	case a.Code < 100:
		code, text = http.StatusGatewayTimeout, "unclear: send it again unchanged"
	}
	if code >= 500 {
		c.Response().Header().Set(wire.HeadRetry, retrySeconds(a.RetryMs))
	}
	return c.String(code, text)
}

// retrySeconds is the time to come back, in whole seconds, at least one.
func retrySeconds(ms int64) string { return strconv.FormatInt(max((ms+999)/1000, 1), 10) }
