package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tealpond/internal/protocol"
)

// attempt sends the request to runners until one responds. It tries another runner only if
// none can have run the request or the request is repeatable, within the limits of the route
// and the retry budget.
func (e *exchange) attempt() phase {
	maxAttempts := max(e.route.MaxAttempts, 1)
	for {
		if e.runner, e.target = e.proxy.pick(e.service, e.tried); e.runner == nil {
			return e.refuseUnanswered()
		}
		e.tried = append(e.tried, e.runner)
		switch e.send() {
		case outcomeResponded:
			return phaseRespond
		case outcomeBodyTooLarge:
			return e.refuseWith(refusalBodyTooLarge)
		case outcomeMayHaveRun:
			e.mayHaveRun = true
		}
		retry := len(e.tried) < maxAttempts && e.ctx.Err() == nil && (!e.mayHaveRun || e.repeatable()) &&
			(e.body == nil || e.body.canReplay())
		if !retry || !e.proxy.takeRetry(e.service) {
			return e.refuseUnanswered()
		}
	}
}

// refuseUnanswered refuses a request whose attempts all went unanswered.
func (e *exchange) refuseUnanswered() phase {
	switch {
	case !e.mayHaveRun:
		return e.refuseWith(refusalNoRunner)
	case e.ctx.Err() != nil:
		return e.refuseWith(refusalTimeout)
	}
	return e.refuseWith(refusalRunnerFailed)
}

// outcome is the result of one attempt for the request.
type outcome int

const (
	outcomeResponded  outcome = iota
	outcomeNotRun             // the runner is known not to have run it
	outcomeMayHaveRun         // it may have run, or may still be running
	// outcomeBodyTooLarge: the client's body turned out to be too large, so the runner did not get all
	// of it.
	outcomeBodyTooLarge
)

// send makes one attempt and waits for the response headers.
func (e *exchange) send() outcome {
	var written, sent atomic.Bool
	var conn atomic.Pointer[connUse] // nil: not connected
	var sentAt atomic.Int64          // ns since the start of the attempt
	startedAt := time.Now()
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if runnerConn, ok := info.Conn.(*runnerConn); ok {
				conn.Store(runnerConn.use())
			}
		},
		WroteHeaders: func() { written.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			sentAt.Store(int64(time.Since(startedAt)))
			sent.Store(true)
		},
	}
	request, err := e.newRunnerRequest(httptrace.WithClientTrace(e.ctx, trace))
	if err != nil {
		e.proxy.endAttempt(e.runner, resultUnknown, 0)
		return outcomeNotRun
	}
	response, err := e.proxy.transport.RoundTrip(request)
	latency := time.Since(startedAt)
	if sent.Load() {
		// Time spent sending a large body says nothing about the runner.
		latency -= time.Duration(sentAt.Load())
	}
	switch {
	case err != nil && e.body != nil && e.body.tooLarge.Load():
		e.proxy.endAttempt(e.runner, resultUnknown, latency)
		return outcomeBodyTooLarge
	case err != nil && e.ctx.Err() != nil:
		e.proxy.endAttempt(e.runner, resultUnknown, latency)
		if conn.Load() == nil {
			return outcomeNotRun
		}
		// Once connected, the transport may be writing the request at this moment.
		return outcomeMayHaveRun
	case err != nil:
		e.proxy.endAttempt(e.runner, resultFailed, latency)
		if !written.Load() {
			return outcomeNotRun
		}
		return outcomeMayHaveRun
	}
	return e.receive(response, conn.Load(), latency, startedAt.Add(time.Duration(sentAt.Load())))
}

// receive decides what a response means for the request that was sent on a connection at sentAt.
// Nothing that a response says counts before it is known to be the response to this request.
func (e *exchange) receive(response *http.Response, conn *connUse, latency time.Duration, sentAt time.Time) outcome {
	notRun := response.Header.Get(protocol.HeaderNotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
	identity := conn.identify(response.Header.Get(protocol.HeaderAttemptID), e.request.Header.Get(protocol.HeaderAttemptID))
	switch {
	case identity == responseMatches && notRun:
		e.discard(response)
		e.proxy.endAttempt(e.runner, resultRejected, latency)
		return outcomeNotRun
	case identity == responseUnidentified && notRun:
		// Runners that reject a request need not send its ID. A second copy of such a response could not be
		// told apart from the next one.
		conn.close()
		_ = response.Body.Close()
		e.proxy.endAttempt(e.runner, resultRejected, latency)
		return outcomeNotRun
	case identity != responseMatches:
		// It must not be delivered, and nothing more may be read from this connection.
		conn.close()
		_ = response.Body.Close()
		e.proxy.endAttempt(e.runner, resultFailed, latency)
		return outcomeMayHaveRun
	}
	if response.Close {
		e.proxy.suspectDraining(e.runner)
	} else {
		// A runner that is shutting down closes its connections after each response.
		e.proxy.recordServing(e.runner, sentAt)
	}
	e.response, e.latency = response, latency
	return outcomeResponded
}

// discard reads a short unused response so that its connection can be reused.
func (e *exchange) discard(response *http.Response) {
	const shortBytes = 4 << 10
	_, _ = io.CopyN(io.Discard, response.Body, shortBytes) // on failure the connection is closed
	_ = response.Body.Close()
}

// newRunnerRequest builds the request sent to the runner: method, path and body are unchanged,
// and so are all headers except hop-by-hop headers.
func (e *exchange) newRunnerRequest(ctx context.Context) (*http.Request, error) {
	path, query, _ := strings.Cut(e.request.RequestURI, "?")
	targetURL := &url.URL{Scheme: "http", Host: e.target.Address, Opaque: path, RawQuery: query}
	request, err := http.NewRequestWithContext(ctx, e.request.Method, "http://"+e.target.Address+"/", nil)
	if err != nil {
		return nil, err
	}
	request.URL, request.Host = targetURL, e.request.Host
	request.Body, request.ContentLength = outgoingBody(e.request, e.body), e.request.ContentLength
	copyHeaders(request.Header, e.request.Header)
	if request.Header.Get("User-Agent") == "" {
		request.Header.Set("User-Agent", "") // net/http would add its own
	}
	if e.hasTenants {
		request.Header.Del(protocol.HeaderTenant) // clients must not choose their tenant
	}
	if e.tenant != "" {
		request.Header.Del(protocol.HeaderAuthorization)
		request.Header.Set(protocol.HeaderTenant, e.tenant)
	}
	remaining := max(time.Until(e.deadline).Milliseconds(), 1)
	request.Header.Set(protocol.HeaderTimeLeft, strconv.FormatInt(remaining, 10))
	request.Header.Set(protocol.HeaderTargetRunner, e.target.ID)
	return request, nil
}
