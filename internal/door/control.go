package door

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"tealpond/internal/desire"
	"tealpond/internal/member"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

// servePut: POST /-/Config.Replace with a desired state on a base.
func (e *Edge) servePut(c echo.Context) error {
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, tune.ControlBytes+1))
	if err != nil {
		return c.String(http.StatusBadRequest, "the body ended early")
	}
	if len(raw) > tune.ControlBytes {
		return c.String(http.StatusRequestEntityTooLarge, "the desired state is too large")
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
	x, stop := context.WithTimeout(c.Request().Context(), tune.PutTime)
	defer stop()
	id := "desired/" + strconv.FormatInt(st.Version, 10)
	e.base.Trace.Add(id, "taken", base, "")
	a := e.Ask(x, member.AskPut, member.Put{Base: base, Raw: raw})
	e.base.Trace.Add(id, "answered", int64(a.Code), a.Text)
	return e.control(c, a)
}

// serveRead: GET /-/Config.Read gives the newest desired state, as sent.
func (e *Edge) serveRead(c echo.Context) error {
	x, stop := context.WithTimeout(c.Request().Context(), tune.PutTime)
	defer stop()
	a := e.Ask(x, member.AskRead, struct{}{})
	if a.Code == http.StatusOK {
		return c.JSONBlob(http.StatusOK, a.Body)
	}
	return e.control(c, a)
}

func (e *Edge) control(c echo.Context, a member.Answer) error {
	switch {
	case a.Code == member.Lost || a.Code == member.Unclear:
		return c.String(http.StatusGatewayTimeout, "unclear: send it again unchanged")
	case a.Code < 100:
		c.Response().Header().Set(wire.HeadRetry, "1")
		return c.String(http.StatusServiceUnavailable, "no leader at the moment")
	case a.Code == http.StatusOK:
		return c.JSONBlob(http.StatusOK, []byte("{}"))
	}
	return c.String(a.Code, a.Text)
}
