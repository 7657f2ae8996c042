package api

import (
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"tealpond/internal/timing"
)

// redirectLeaderContactTimeout is how recently the leader must have responded for operators to be
// redirected to it: a renewal interval and the time of one attempt.
const redirectLeaderContactTimeout = timing.MembershipRenewInterval + timing.RequestAttemptTimeout

// redirectToLeader responds to an operator's call with a redirect (307) to the leader. It returns
// false if this daemon should forward the call, because it has a replica itself or has had no
// contact with the leader recently.
//
// A configuration may have hundreds of kilobytes. A machine without a disk may have a tenth of a
// processor and a link of 2 Mbit/s, so it takes longer to validate and forward a configuration than
// an operator waits.
func (s *Server) redirectToLeader(c echo.Context) bool {
	if !s.leaderContact.reachedWithin(redirectLeaderContactTimeout) {
		return false
	}
	host, _, err := net.SplitHostPort(s.leaderAddress())
	if err != nil {
		return false
	}
	// All machines use the same ports (see DEPLOY).
	_, port, err := net.SplitHostPort(s.settings.ListenAddresses.Control)
	if err != nil {
		return false
	}
	target := "http://" + net.JoinHostPort(host, port) + c.Request().URL.Path
	return c.Redirect(http.StatusTemporaryRedirect, target) == nil
}
