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

// attempt sends the request to a runner. It goes on to another one as long as the first
// surely did not run it, or it may run twice, within the bounds of the route and the
// budget.
func (e *exchange) attempt() phase {
	most := max(e.route.MaxAttempts, 1)
	for {
		if e.runner, e.listed = e.proxy.pick(e.service, e.tried); e.runner == nil {
			return e.giveUp()
		}
		e.tried = append(e.tried, e.runner)
		switch e.send() {
		case outcomeAnswered:
			return phaseAnswer
		case outcomeMayHaveRun:
			e.mayHaveRun = true
		}
		again := len(e.tried) < most && e.ctx.Err() == nil && (!e.mayHaveRun || e.repeatable()) && (e.body == nil || e.body.canReplay())
		if !again || !e.proxy.takeRetry(e.service) {
			return e.giveUp()
		}
	}
}

// giveUp refuses a request of which no attempt was answered.
func (e *exchange) giveUp() phase {
	switch {
	case !e.mayHaveRun:
		return e.refuseWith(refusalNoRunner)
	case e.ctx.Err() != nil:
		return e.refuseWith(refusalTooLate)
	}
	return e.refuseWith(refusalRunnerFailed)
}

// outcome is what became of one attempt.
type outcome int

const (
	outcomeAnswered   outcome = iota
	outcomeNotRun             // the runner surely did not run it
	outcomeMayHaveRun         // it ran, or not, or is running
)

// send makes one attempt and waits for the head of the answer.
func (e *exchange) send() outcome {
	var connected, written, sent atomic.Bool
	var sentAt atomic.Int64 // ns since the attempt began
	begunAt := time.Now()
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaders: func() { written.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			sentAt.Store(int64(time.Since(begunAt)))
			sent.Store(true)
		},
	}
	request, err := e.outgoing(httptrace.WithClientTrace(e.ctx, trace))
	if err != nil {
		e.proxy.end(e.runner, resultUnknown, 0)
		return outcomeNotRun
	}
	response, err := e.proxy.transport.RoundTrip(request)
	took := time.Since(begunAt)
	if sent.Load() {
		// Sending a large body says nothing of the runner.
		took -= time.Duration(sentAt.Load())
	}
	switch {
	case err != nil && e.ctx.Err() != nil:
		e.proxy.end(e.runner, resultUnknown, took)
		if !connected.Load() {
			return outcomeNotRun
		}
		// Once there is a connection, the library may be writing to it right now.
		return outcomeMayHaveRun
	case err != nil:
		e.proxy.end(e.runner, resultFailed, took)
		if !written.Load() {
			return outcomeNotRun
		}
		return outcomeMayHaveRun
	case response.Header.Get(protocol.HeaderNotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest:
		e.discard(response)
		e.proxy.end(e.runner, resultFull, took)
		return outcomeNotRun
	case response.Header.Get(protocol.HeaderAttemptID) != e.request.Header.Get(protocol.HeaderAttemptID):
		// It is the answer to another request: nobody may see it, and nothing more
		// may be read from this connection.
		_ = response.Body.Close()
		e.proxy.transport.CloseIdleConnections()
		e.proxy.end(e.runner, resultFailed, took)
		return outcomeMayHaveRun
	}
	if response.Close {
		e.proxy.suspectLeaving(e.runner)
	} else {
		// The answers of a runner that leaves close their connections.
		e.proxy.noteServing(e.runner, begunAt.Add(time.Duration(sentAt.Load())))
	}
	e.response, e.took = response, took
	return outcomeAnswered
}

// discard reads a short answer that isn't used, so that its connection can be kept.
func (e *exchange) discard(response *http.Response) {
	const shortBytes = 4 << 10
	_, _ = io.CopyN(io.Discard, response.Body, shortBytes) // the connection is closed if that fails
	_ = response.Body.Close()
}

// outgoing makes the request as the runner gets it: method, path and body unchanged, and
// all headers but those of the client's connection.
func (e *exchange) outgoing(ctx context.Context) (*http.Request, error) {
	path, query, _ := strings.Cut(e.request.RequestURI, "?")
	target := &url.URL{Scheme: "http", Host: e.listed.Address, Opaque: path, RawQuery: query}
	request, err := http.NewRequestWithContext(ctx, e.request.Method, "http://"+e.listed.Address+"/", nil)
	if err != nil {
		return nil, err
	}
	request.URL, request.Host = target, e.request.Host
	request.Body, request.ContentLength = bodyFor(e.request, e.body), e.request.ContentLength
	copyHeaders(request.Header, e.request.Header)
	if request.Header.Get("User-Agent") == "" {
		request.Header.Set("User-Agent", "") // the library would add its own
	}
	if e.tenantsKnown {
		request.Header.Del(protocol.HeaderTenant) // a client may claim anything
	}
	if e.tenant != "" {
		request.Header.Del(protocol.HeaderAuthorization)
		request.Header.Set(protocol.HeaderTenant, e.tenant)
	}
	left := max(time.Until(e.until).Milliseconds(), 1)
	request.Header.Set(protocol.HeaderTimeLeft, strconv.FormatInt(left, 10))
	request.Header.Set(protocol.HeaderTargetRunner, e.listed.ID)
	return request, nil
}
