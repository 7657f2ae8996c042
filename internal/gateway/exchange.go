package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/httpserver"
	"tealpond/internal/protocol"
	"tealpond/internal/registry"
)

const (
	// responseReserve is the part of a client's deadline that is left for the way of the response.
	responseReserve = 30 * time.Millisecond
	// unreadAnswerTime is how long after a client's deadline a response is still written that the
	// client doesn't read.
	unreadAnswerTime = time.Second
	// maxGatewayTime is the deadline of a request whose client names none, and the longest one.
	maxGatewayTime = 60 * time.Second
	// startupWait is how long a request waits in a daemon that has no configuration or list of runners
	// yet.
	startupWait = 800 * time.Millisecond
)

// phase is a state of a request in this daemon.
type phase int

const (
	phaseAdmit   phase = iota // its sizes, route and tenant are looked at
	phaseAttempt              // a runner is chosen and the request is sent to it
	phaseAnswer               // the runner's answer goes back
	phaseRefuse               // an answer of this daemon's own goes back
	phaseEnded
)

// phaseHandlers do the work of each phase and return the next one.
var phaseHandlers = map[phase]func(*exchange) phase{
	phaseAdmit:   (*exchange).admit,
	phaseAttempt: (*exchange).attempt,
	phaseAnswer:  (*exchange).answer,
	phaseRefuse:  (*exchange).refuse,
}

// exchange is one request of a client and its answer.
type exchange struct {
	proxy   *Proxy
	conn    *clientConn // nil: the connection is not one of Listener
	writer  http.ResponseWriter
	request *http.Request
	until   time.Time          // when the client's time, or the route's, is used up
	ctx     context.Context    // ends with the client, or at until
	cancel  context.CancelFunc // of ctx

	route   *clusterconfig.Route
	service string
	tenant  string // of its key; empty: none
	// tenantsKnown: the configuration names tenants.
	tenantsKnown bool
	body         *requestBody // nil: there is none
	tried        []*runnerState
	// mayHaveRun: an attempt may have run, or may yet, so nothing can be promised.
	mayHaveRun bool

	runner   *runnerState    // shared with other requests; read under the proxy's lock
	listed   registry.Runner // the runner as it was listed when it was chosen
	response *http.Response
	took     time.Duration // until the head of the answer
	refusal  refusal
}

// ServeHTTP serves one request.
func (p *Proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	conn, ok := request.Context().Value(connKey{}).(*clientConn)
	if ok {
		early := conn.begin(request)
		defer conn.end()
		if early != nil {
			early.serve(writer, request)
			return
		}
	}
	p.newExchange(writer, request, conn).run(phaseAdmit)
}

// newExchange begins a client's request; the time that the client gives it runs from now.
func (p *Proxy) newExchange(writer http.ResponseWriter, request *http.Request, conn *clientConn) *exchange {
	left := protocol.TimeLeft(request, maxGatewayTime)
	left -= min(left/10, responseReserve)
	e := &exchange{proxy: p, conn: conn, writer: writer, request: request, until: time.Now().Add(left)}
	e.ctx, e.cancel = context.WithDeadline(request.Context(), e.until)
	return e
}

// run goes through the phases of a request to its end.
func (e *exchange) run(next phase) {
	defer func() { e.cancel() }()
	for next != phaseEnded {
		next = phaseHandlers[next](e)
	}
}

// clientHasGone reports whether the client has ended its connection. At the latest moment of
// a daemon's end the request's context ends too, and the client is there.
func (e *exchange) clientHasGone() bool {
	ctx := e.request.Context()
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), httpserver.ErrEnding)
}

// endConnectionIfLast says in an answer's headers that the connection ends with it, if the
// daemon leaves and nothing behind it was passed on.
func (e *exchange) endConnectionIfLast(header http.Header) {
	if e.conn != nil && e.conn.endsWithAnswer() {
		header.Set("Connection", "close")
	}
}

// admit finds the request's route and tenant.
func (e *exchange) admit() phase {
	if e.proxy.refuses() {
		return e.refuseWith(refusalLeaving)
	}
	if !e.proxy.awaitReady(e.ctx, min(startupWait, time.Until(e.until)/2)) {
		return e.refuseWith(refusalNotConfigured)
	}
	known := e.proxy.routing.Load()
	if _, ok := e.judge(known); !ok || e.tenant != "" && !e.route.Public && !e.proxy.trustsKeys() {
		// Before a request is refused permanently the newest configuration is asked
		// for: the one known here may be older. So it is before a key is served that
		// may have been taken away.
		if err := e.proxy.options.Refresh(e.ctx); err != nil {
			return e.refuseWith(refusalNotConfigured)
		}
		if refused, ok := e.judge(e.proxy.routing.Load()); !ok {
			return e.refuseWith(refused)
		}
	}
	if limited := e.proxy.routing.Load().limited[e.tenant]; limited != nil {
		if retryAfter, ok := e.proxy.rates.admit(e.ctx, limited); !ok {
			return e.refuseWith(refusal{http.StatusTooManyRequests, "more requests than agreed", retryAfter})
		}
	}
	if limit := time.Duration(e.route.TimeoutMs) * time.Millisecond; time.Until(e.until) > limit {
		e.cancel()
		e.until = time.Now().Add(limit)
		e.ctx, e.cancel = context.WithDeadline(e.request.Context(), e.until)
	}
	e.service = e.proxy.serviceFor(e.route)
	e.body = newRequestBody(e.request)
	e.proxy.countRequest(e.service)
	return phaseAttempt
}

// judge reports whether a configuration allows the request, and how it is refused else.
func (e *exchange) judge(by *routing) (refusal, bool) {
	limits := by.config.Limits
	switch {
	case limits.MaxHeaderBytes > 0 && protocol.HeaderSize(e.request) > limits.MaxHeaderBytes:
		return refusalHeaderTooLarge, false
	case limits.MaxBodyBytes > 0 && e.request.ContentLength > limits.MaxBodyBytes:
		return refusalBodyTooLarge, false
	}
	e.route, _ = by.routes.Find(e.request.Host, e.request.URL.Path)
	if e.route == nil || !strings.HasPrefix(e.request.URL.Path, e.route.PathPrefix) {
		return refusalNoRoute, false
	}
	e.tenantsKnown = len(by.config.Tenants()) > 0
	if !e.tenantsKnown {
		return refusal{}, true
	}
	tenant, ok := by.keys.Tenant(protocol.BearerKey(e.request))
	e.tenant = tenant
	return refusalNoKey, ok || e.route.Public
}

// repeatable reports whether the request may run more than once.
func (e *exchange) repeatable() bool {
	return e.route.Kind == protocol.KindReadOnly || e.route.Kind == protocol.KindDownload
}

// answer passes the runner's answer on, unchanged.
func (e *exchange) answer() phase {
	defer func() { _ = e.response.Body.Close() }()
	header := e.writer.Header()
	copyHeaders(header, e.response.Header)
	for _, name := range []string{"Content-Type", "Date"} {
		if header.Get(name) == "" {
			header[name] = nil // the library would add its own
		}
	}
	if e.response.ContentLength >= 0 && e.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(e.response.ContentLength, 10))
	}
	e.endConnectionIfLast(header)
	// A client may be slow to read, and one that has gone without a word reads nothing.
	_ = http.NewResponseController(e.writer).SetWriteDeadline(e.until.Add(unreadAnswerTime)) // a writer of a test has none
	e.writer.WriteHeader(e.response.StatusCode)
	if err := e.copyBody(); err != nil {
		how := resultFailed
		if e.ctx.Err() != nil {
			how = resultUnknown
		}
		e.proxy.end(e.runner, how, e.took)
		panic(http.ErrAbortHandler) // the client must see that its answer is not whole
	}
	how := resultSound
	if e.response.StatusCode >= http.StatusInternalServerError {
		how = resultFailed
	}
	e.proxy.end(e.runner, how, e.took)
	return phaseEnded
}
