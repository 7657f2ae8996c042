package api

import (
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"tealpond/internal/tuning"
)

// redirectToLeader answers an operator's call by 307 to the leader itself; false where
// this daemon should carry the call on, since it is of the core, or hasn't heard
// the leader lately. A configuration may hold hundreds of kilobytes: a machine
// without a disk may have a tenth of a core and a link of 2 Mbit/s, on which
// checking it and passing it on take longer than an operator waits.
func (s *Server) redirectToLeader(c echo.Context) bool {
	if !s.leaderContact.heardWithin(tuning.RedirectLeaderContactTimeout) {
		return false
	}
	host, _, err := net.SplitHostPort(s.leaderAddress())
	if err != nil {
		return false
	}
	// Ports are the same on all machines (DEPLOY, "What a process is told").
	_, port, err := net.SplitHostPort(s.settings.ListenAddresses.Control)
	if err != nil {
		return false
	}
	target := "http://" + net.JoinHostPort(host, port) + c.Request().URL.Path
	return c.Redirect(http.StatusTemporaryRedirect, target) == nil
}
