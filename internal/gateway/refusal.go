package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"tealpond/internal/protocol"
)

const (
	// startupRetryAfter is the Retry-After of a request refused by a daemon that has no configuration
	// or list of runners yet.
	startupRetryAfter = 300 * time.Millisecond
	// refusedRetryAfter is the Retry-After of a request that found no runner.
	refusedRetryAfter = 150 * time.Millisecond
)

// refusal is an answer of this daemon's own.
type refusal struct {
	status     int
	text       string
	retryAfter time.Duration // 0: not said
}

// Refusals. A 503 promises that the request was not run and never will be; a 502 and a
// 504 promise nothing.
var (
	refusalNotConfigured  = refusal{http.StatusServiceUnavailable, "not configured yet", startupRetryAfter}
	refusalLeaving        = refusal{http.StatusServiceUnavailable, "this daemon ends", refusedRetryAfter}
	refusalNoRoute        = refusal{status: http.StatusNotFound, text: "no such route"}
	refusalNoKey          = refusal{status: http.StatusUnauthorized, text: "no tenant's key"}
	refusalHeaderTooLarge = refusal{status: http.StatusRequestHeaderFieldsTooLarge, text: "the headers are too large"}
	refusalBodyTooLarge   = refusal{status: http.StatusRequestEntityTooLarge, text: "the body is too large"}
	refusalNoRunner       = refusal{http.StatusServiceUnavailable, "no runner took the request", refusedRetryAfter}
	refusalRunnerFailed   = refusal{status: http.StatusBadGateway, text: "the runner failed"}
	refusalTooLate        = refusal{status: http.StatusGatewayTimeout, text: "no answer in time"}
)

// refuseWith ends the request with an answer of this daemon's own.
func (e *exchange) refuseWith(refusal refusal) phase {
	e.refusal = refusal
	return phaseRefuse
}

// refuse writes an answer of this daemon's own. If the request's body was not read, the
// library closes the connection.
func (e *exchange) refuse() phase {
	if e.clientHasGone() {
		// Without this the library would write an empty success: a client may have closed
		// its sending side only.
		panic(http.ErrAbortHandler)
	}
	header := e.writer.Header()
	e.endConnectionIfLast(header)
	if e.refusal.retryAfter > 0 {
		header.Set(protocol.HeaderRetryAfter, strconv.FormatFloat(e.refusal.retryAfter.Seconds(), 'f', -1, 64))
	}
	header.Set("Content-Type", "text/plain")
	e.writer.WriteHeader(e.refusal.status)
	_, _ = io.WriteString(e.writer, e.refusal.text+"\n") // the client may have gone
	return phaseEnded
}
