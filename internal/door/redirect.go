package door

import (
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"tealpond/internal/tune"
)

// redirect answers an operator's call by 307 to the leader itself; false where
// this daemon should carry the call on, since it is of the core, or hasn't heard
// the leader lately. A configuration may hold hundreds of kilobytes: a machine
// without a disk may have a tenth of a core and a link of 2 Mbit/s, on which
// checking it and passing it on take longer than an operator waits.
func (e *Edge) redirect(c echo.Context) bool {
	if !e.contact.within(tune.RedirectFresh) {
		return false
	}
	host, _, err := net.SplitHostPort(e.leader())
	if err != nil {
		return false
	}
	// Ports are the same on all machines (DEPLOY, "What a process is told").
	_, port, err := net.SplitHostPort(e.set.ListenAddrs.ControlAddr)
	if err != nil {
		return false
	}
	to := "http://" + net.JoinHostPort(host, port) + c.Request().URL.Path
	return c.Redirect(http.StatusTemporaryRedirect, to) == nil
}
