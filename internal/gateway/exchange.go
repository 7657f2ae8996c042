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
	// responseReserve is the part of a client's deadline reserved for sending the response.
	responseReserve = 30 * time.Millisecond
	// unreadResponseTime is how long after a client's deadline the daemon keeps writing a
	// response that the client does not read.
	unreadResponseTime = time.Second
	// maxGatewayTime is the deadline of a request whose client specifies none, and the longest
	// one allowed.
	maxGatewayTime = 60 * time.Second
	// startupWait is how long a request waits in a daemon that has no configuration or runner
	// list yet.
	startupWait = 800 * time.Millisecond
)

// phase is the state of a request in this daemon.
type phase int

const (
	phaseAdmit   phase = iota // sizes, route and tenant are checked
	phaseAttempt              // a runner is chosen and the request is sent to it
	phaseRespond              // the runner's response is forwarded
	phaseRefuse               // an error response of this daemon is written
	phaseEnded
)

// phaseHandlers run each phase and return the next one.
var phaseHandlers = map[phase]func(*exchange) phase{
	phaseAdmit:   (*exchange).admit,
	phaseAttempt: (*exchange).attempt,
	phaseRespond: (*exchange).respond,
	phaseRefuse:  (*exchange).refuse,
}

// exchange is one client request and its response.
type exchange struct {
	proxy    *Proxy
	conn     *clientConn // nil: the connection was not accepted by Listener
	writer   http.ResponseWriter
	request  *http.Request
	deadline time.Time          // the earlier of the client's and the route's deadline
	ctx      context.Context    // canceled with the client's request, or at deadline
	cancel   context.CancelFunc // of ctx

	route   *clusterconfig.Route
	service string
	tenant  string // of the API key; empty: none
	// hasTenants is set if the configuration defines tenants.
	hasTenants bool
	body       *requestBody // nil: there is none
	tried      []*runnerState
	// mayHaveRun is set if an attempt may have run, or may still run, so no guarantee can be given.
	mayHaveRun bool

	runner   *runnerState    // shared with other requests; read under the proxy's lock
	target   registry.Runner // list entry of the runner when it was chosen
	response *http.Response
	latency  time.Duration // until the response headers
	refusal  refusal
}

// ServeHTTP serves one request.
func (p *Proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	conn, ok := request.Context().Value(clientConnKey{}).(*clientConn)
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

// newExchange starts handling a client's request; the client's time limit counts from now.
func (p *Proxy) newExchange(writer http.ResponseWriter, request *http.Request, conn *clientConn) *exchange {
	remaining := protocol.TimeLeft(request, maxGatewayTime)
	remaining -= min(remaining/10, responseReserve)
	e := &exchange{proxy: p, conn: conn, writer: writer, request: request, deadline: time.Now().Add(remaining)}
	e.ctx, e.cancel = context.WithDeadline(request.Context(), e.deadline)
	return e
}

// run executes the phases of a request until it ends.
func (e *exchange) run(next phase) {
	defer func() { e.cancel() }()
	for next != phaseEnded {
		next = phaseHandlers[next](e)
	}
}

// clientDisconnected reports whether the client has closed its connection. At the shutdown
// deadline the request's context also ends, but the client is still connected.
func (e *exchange) clientDisconnected() bool {
	ctx := e.request.Context()
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), httpserver.ErrShuttingDown)
}

// closeConnectionIfLast sets Connection: close on a response if the daemon is shutting down
// and no request behind it was forwarded.
func (e *exchange) closeConnectionIfLast(header http.Header) {
	if e.conn != nil && e.conn.closesAfterResponse() {
		header.Set("Connection", "close")
	}
}

// admit determines the request's route and tenant.
func (e *exchange) admit() phase {
	if e.proxy.refusesRequests() {
		return e.refuseWith(refusalShuttingDown)
	}
	if !e.proxy.awaitReady(e.ctx, min(startupWait, time.Until(e.deadline)/2)) {
		return e.refuseWith(refusalNotConfigured)
	}
	current := e.proxy.routing.Load()
	if _, ok := e.validate(current); !ok || e.tenant != "" && !e.route.Public && !e.proxy.trustsKeys() {
		// Before a request is refused permanently the current configuration is fetched, since
		// the active one may be outdated. The same applies before accepting a key that may
		// have been revoked.
		if err := e.proxy.options.Refresh(e.ctx); err != nil {
			return e.refuseWith(refusalNotConfigured)
		}
		if refused, ok := e.validate(e.proxy.routing.Load()); !ok {
			return e.refuseWith(refused)
		}
	}
	if limited := e.proxy.routing.Load().limited[e.tenant]; limited != nil {
		if retryAfter, ok := e.proxy.rates.admit(e.ctx, limited); !ok {
			return e.refuseWith(refusal{http.StatusTooManyRequests, "more requests than agreed", retryAfter})
		}
	}
	if limit := time.Duration(min(e.route.TimeoutMs, protocol.MaxQuantity)) * time.Millisecond; time.Until(e.deadline) > limit {
		e.cancel()
		e.deadline = time.Now().Add(limit)
		e.ctx, e.cancel = context.WithDeadline(e.request.Context(), e.deadline)
	}
	e.service = e.proxy.serviceFor(e.route)
	e.body = newRequestBody(e.request, e.bodyExceedsLimit)
	e.proxy.countRequest(e.service)
	return phaseAttempt
}

// validate checks a request against a configuration. If it is not allowed it returns the
// refusal and false.
func (e *exchange) validate(current *routing) (refusal, bool) {
	limits := current.config.Limits
	switch {
	case limits.MaxHeaderBytes > 0 && protocol.HeaderSize(e.request) > limits.MaxHeaderBytes:
		return refusalHeaderTooLarge, false
	case limits.MaxBodyBytes > 0 && e.request.ContentLength > limits.MaxBodyBytes:
		return refusalBodyTooLarge, false
	}
	e.route, _ = current.routes.Find(e.request.Host, e.request.URL.Path)
	if e.route == nil || !strings.HasPrefix(e.request.URL.Path, e.route.PathPrefix) {
		return refusalNoRoute, false
	}
	e.hasTenants = len(current.config.Tenants()) > 0
	if !e.hasTenants {
		return refusal{}, true
	}
	tenant, ok := current.keys.Tenant(protocol.BearerKey(e.request))
	e.tenant = tenant
	return refusalUnknownKey, ok || e.route.Public
}

// bodyExceedsLimit reports whether a body of some size is larger than the configuration allows. As in
// admit, the current configuration is fetched before a request is refused for good.
func (e *exchange) bodyExceedsLimit(bytes int64) bool {
	exceeds := func() bool {
		limit := e.proxy.routing.Load().config.Limits.MaxBodyBytes
		return limit > 0 && bytes > limit
	}
	return exceeds() && (e.proxy.options.Refresh(e.ctx) != nil || exceeds())
}

// repeatable reports whether the request may run more than once.
func (e *exchange) repeatable() bool {
	return e.route.Kind == protocol.KindReadOnly || e.route.Kind == protocol.KindDownload
}

// respond forwards the runner's response unchanged.
func (e *exchange) respond() phase {
	defer func() { _ = e.response.Body.Close() }()
	header := e.writer.Header()
	copyHeaders(header, e.response.Header)
	for _, name := range []string{"Content-Type", "Date"} {
		if header.Get(name) == "" {
			header[name] = nil // net/http would add its own
		}
	}
	if e.response.ContentLength >= 0 && e.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(e.response.ContentLength, 10))
	}
	e.closeConnectionIfLast(header)
	// Bound the write: a client may read slowly, or be gone without having closed its connection.
	// The error is ignored because test writers don't support deadlines.
	_ = http.NewResponseController(e.writer).SetWriteDeadline(e.deadline.Add(unreadResponseTime))
	e.writer.WriteHeader(e.response.StatusCode)
	if err := e.copyResponseBody(); err != nil {
		result := resultFailed
		if e.ctx.Err() != nil {
			result = resultUnknown
		}
		e.proxy.endAttempt(e.runner, result, e.latency)
		panic(http.ErrAbortHandler) // the client must detect that the response is truncated
	}
	result := resultOK
	if e.response.StatusCode >= http.StatusInternalServerError {
		result = resultFailed
	}
	e.proxy.endAttempt(e.runner, result, e.latency)
	return phaseEnded
}
