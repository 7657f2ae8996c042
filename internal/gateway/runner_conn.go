package gateway

import (
	"net"
	"sync/atomic"
)

// runnerConn is a connection to a runner. A runner may send a second copy of a response in the place of
// the next one, so the connection records whether such a copy could be told apart.
type runnerConn struct {
	net.Conn
	// identified is set while the response to the last request on the connection is known to carry the
	// attempt ID of that request, or if there was no request yet. A second copy of such a response carries
	// the ID too.
	identified atomic.Bool
}

// newRunnerConn returns the connection for requests to a runner.
func newRunnerConn(conn net.Conn) *runnerConn {
	runnerConn := &runnerConn{Conn: conn}
	runnerConn.identified.Store(true)
	return runnerConn
}

// connUse is the use of a connection to a runner by one request.
type connUse struct {
	conn *runnerConn
	// predecessorIdentified is set if a second copy of the previous response on the connection would carry
	// the attempt ID of its request.
	predecessorIdentified bool
}

// use starts the use of the connection for a request.
func (c *runnerConn) use() *connUse {
	return &connUse{conn: c, predecessorIdentified: c.identified.Swap(false)}
}

// responseIdentity says whether a response is the one to the request that was sent last.
type responseIdentity int

const (
	responseMatches      responseIdentity = iota // it carries the ID of the request
	responseUnidentified                         // it carries no ID, and cannot be a copy of an earlier one
	responseForeign                              // it is, or may be, the response to another request
)

// identify compares the attempt ID of a response, which is empty if there is none, with that of the
// request. A response without an ID is foreign if the previous one on the connection had none
// either, since it may be a second copy of that one.
func (u *connUse) identify(responseID, requestID string) responseIdentity {
	switch {
	case responseID == requestID:
		u.conn.identified.Store(requestID != "")
		return responseMatches
	case responseID == "" && u.predecessorIdentified:
		return responseUnidentified
	}
	return responseForeign
}

// close closes the connection, also if the transport has made it available to other requests.
func (u *connUse) close() { _ = u.conn.Close() }
