package api

import (
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"tealpond/internal/timing"
)

// redirectLeaderContactTimeout is how long ago the leader may have answered for operators to be
// redirected to it; a renewal and its response fit in.
const redirectLeaderContactTimeout = timing.MembershipRenewInterval + timing.RequestAttemptTimeout

// redirectToLeader answers an operator's call with a redirect (307) to the leader.
// It returns false if this daemon should forward the call, because it has a replica
// itself or has not heard from the leader lately.
//
// A configuration may have hundreds of kilobytes. A machine without a disk may have
// a tenth of a processor and a link of 2 Mbit/s, and takes longer to check and
// forward one than an operator waits.
func (s *Server) redirectToLeader(c echo.Context) bool {
	if !s.leaderContact.heardWithin(redirectLeaderContactTimeout) {
		return false
	}
	host, _, err := net.SplitHostPort(s.leaderAddress())
	if err != nil {
		return false
	}
	// All machines use the same ports, see "What a process is told" in DEPLOY.
	_, port, err := net.SplitHostPort(s.settings.ListenAddresses.Control)
	if err != nil {
		return false
	}
	target := "http://" + net.JoinHostPort(host, port) + c.Request().URL.Path
	return c.Redirect(http.StatusTemporaryRedirect, target) == nil
}
