// Package api is the HTTP front end of a daemon for clients and operators.
//
// It reads a request, checks what can be checked without the state, sends it to
// the leader and writes the answer. The replica of its own process, if there is
// one, is tried first, then the leader elsewhere (leader.go). The outcome of a
// request is mapped to an HTTP status in status.go, and nowhere else.
//
// It never decides on work, never keeps a request to send it later, and never
// says that a request was not taken where it may have been.
package api
