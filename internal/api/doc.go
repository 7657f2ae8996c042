// Package api is the HTTP front end of a daemon for clients and operators.
//
// It reads a request, checks what can be checked without the state, brings it to
// the leader and writes the answer: the replica of its own process is asked
// first, if there is one, then whoever leads. What became of a request is mapped
// to a status of HTTP in status.go, and nowhere else.
//
// It never decides on work, never keeps a request to send it later, and never
// says that a request was not taken where it may have been.
package api
