// Package api is the HTTP front end of a daemon for clients, applications, runners and operators. It
// contains the edge and gateway roles.
//
// It reads a request, makes the checks that need no replicated state, forwards the request to the
// leader and writes the response. The replica of its own process, if there is one, is tried first,
// then the leader elsewhere (leader.go). Calls on tallies go to any replica instead (tallies.go). In
// the gateway role, package gateway forwards clients' requests to runners. Only status.go maps the
// outcome of a request to the leader or a replica to an HTTP status.
//
// It makes no scheduling decisions and never stores a request to send it later. It never reports a
// request as not accepted if the leader may have accepted it.
package api
