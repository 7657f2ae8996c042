package discovery

import (
	"context"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

const (
	// maxRequestAttemptTimeout bounds one attempt of a request to a leader that keeps answering other
	// requests.
	maxRequestAttemptTimeout = 2 * time.Second
	// minLinkBytesPerSecond is the transfer rate that is assumed for large requests and responses when
	// the time-out of an attempt is computed: half of a 2 Mbit/s link, as the other half is left to
	// other traffic.
	minLinkBytesPerSecond = 125_000
	// leaderWaitTimeout is how long a request waits for a leader unless its kind sets another limit; it
	// is slightly longer than timing.ExpectedElectionTime.
	leaderWaitTimeout = 1300 * time.Millisecond
	// knownNoLeaderWait is how long a client's request waits for a leader while it is known that none is
	// reachable.
	knownNoLeaderWait = 250 * time.Millisecond
	// operatorLeaderWait is how long an operator's request waits for a leader; operators try the next
	// daemon after one second.
	operatorLeaderWait = 500 * time.Millisecond
)

const (
	// defaultRequestTimeout is the time limit of a request whose context has no deadline.
	defaultRequestTimeout = time.Minute
	// responseGracePeriod is how long a caller whose context has ended waits for the loop to
	// report whether the request may have been processed.
	responseGracePeriod = 20 * time.Millisecond
)

// pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	request  rpc.Request
	reply    chan rpc.Response
	deadline time.Time
	// noLeaderDeadline is when a request that no leader can have processed fails;
	// leaderlessDeadline replaces it while the client knows that no leader is reachable.
	noLeaderDeadline, leaderlessDeadline time.Time
	sentAt                               time.Time // zero while not in flight
	// unansweredAttempts counts the attempts that a leader may have processed.
	unansweredAttempts int
	done               <-chan struct{} // of the caller's context
	hold               time.Duration   // how long the leader may hold the request before it answers
}

// newPendingRequest returns a pending request whose deadlines follow from its kind and context.
func newPendingRequest(ctx context.Context, request rpc.Request) *pendingRequest {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultRequestTimeout)
	}
	timeouts, ok := leaderTimeoutsByKind[request.Kind]
	if !ok {
		timeouts = leaderTimeouts{leaderWaitTimeout, leaderWaitTimeout}
	}
	if timeout, ok := ctx.Value(leaderTimeoutKey{}).(time.Duration); ok {
		timeouts.general = timeout
	}
	return &pendingRequest{request: request, reply: make(chan rpc.Response, 1), deadline: deadline,
		noLeaderDeadline: now.Add(timeouts.general), leaderlessDeadline: now.Add(timeouts.leaderless), done: ctx.Done(), hold: HoldFromContext(ctx)}
}

// wait waits for the response until ctx ends, and responseGracePeriod longer.
func (p *pendingRequest) wait(ctx context.Context) rpc.Response {
	select {
	case response := <-p.reply:
		return response
	case <-ctx.Done():
	}
	select {
	case response := <-p.reply:
		return response
	case <-time.After(responseGracePeriod):
		return rpc.Response{Code: rpc.CodeTimeout}
	}
}

// fail ends a request without an answer, with the code that tells whether a leader may have
// processed it.
func (p *pendingRequest) fail() {
	code := rpc.CodeNoLeader
	if p.unansweredAttempts > 0 {
		code = rpc.CodeTimeout
	}
	p.reply <- rpc.Response{Code: code}
}

// leaderTimeouts is how long a request waits for a leader: in general, and while the client knows
// that no leader is reachable.
type leaderTimeouts struct{ general, leaderless time.Duration }

// leaderTimeoutsByKind sets time-outs by the kind of request. A rejection during an election costs
// clients more than operators, who try the next daemon. Kinds that are not listed use
// leaderWaitTimeout for both.
var leaderTimeoutsByKind = map[string]leaderTimeouts{
	rpc.KindSubmitJob: {leaderWaitTimeout, knownNoLeaderWait},
	rpc.KindJobStatus: {leaderWaitTimeout, knownNoLeaderWait},
	rpc.KindCancelJob: {leaderWaitTimeout, knownNoLeaderWait},
	rpc.KindPutConfig: {operatorLeaderWait, 0},
	rpc.KindGetConfig: {operatorLeaderWait, 0},
}

// Call encodes the body and sends the request to the leader. It retries until the request is
// answered, ctx ends or the wait for a leader times out; a ctx without a deadline is limited to
// defaultRequestTimeout. The response's code is rpc.CodeNoLeader if no leader processed the request,
// rpc.CodeTimeout if one may have processed it, and the leader's code otherwise. It is safe for
// concurrent use.
func (c *Client) Call(ctx context.Context, kind string, body any) rpc.Response {
	return c.Do(ctx, rpc.Request{Kind: kind, Body: transport.Encode(body)})
}

// Do is like Call for a request whose body is already encoded.
func (c *Client) Do(ctx context.Context, request rpc.Request) rpc.Response {
	return c.Enqueue(ctx, request)()
}

// Enqueue queues a request behind all requests that were enqueued before. The function that it
// returns waits for the response, as Do does.
func (c *Client) Enqueue(ctx context.Context, request rpc.Request) func() rpc.Response {
	pending := newPendingRequest(ctx, request)
	select {
	case c.events <- clientEvent{request: pending}:
	case <-ctx.Done():
		return func() rpc.Response { return rpc.Response{Code: rpc.CodeNoLeader} }
	}
	return func() rpc.Response { return pending.wait(ctx) }
}

// send sends a request on the current stream, if there is one.
func (c *Client) send(id uint64, pending *pendingRequest) {
	if c.stream == nil {
		return
	}
	if c.stream.Send(transport.Frame{Kind: rpc.FrameRequest, ID: id, Body: transport.Encode(pending.request)}) {
		pending.sentAt = c.now
		pending.unansweredAttempts++
	}
}

// onResponse delivers a response to its caller, or disconnects from a daemon that is not the leader.
func (c *Client) onResponse(ctx context.Context, id uint64, response rpc.Response) {
	pending := c.pending[id]
	if pending == nil {
		return
	}
	if response.Code == rpc.CodeNotLeader || response.Code == rpc.CodeLeadershipLost {
		// The request stays pending and is resent on the next connection; requests are
		// idempotent.
		if response.Leader != "" {
			c.leader = response.Leader
		}
		if response.Code == rpc.CodeNotLeader {
			pending.unansweredAttempts--
		}
		c.backOff(c.address)
		c.disconnect()
		return
	}
	c.switchToAggregator(ctx, response)
	if response.ConfigVersion != 0 && c.options.OnConfigVersion != nil {
		c.options.OnConfigVersion(response.ConfigVersion)
	}
	delete(c.pending, id)
	pending.reply <- response
}

// expireRequests fails the requests that are past their deadline or have waited too long for a
// leader. It calls wakeIn with the delays until the next checks.
func (c *Client) expireRequests(wakeIn func(time.Duration)) {
	leaderless := c.leaderless(c.now)
	for id, pending := range c.pending {
		if pending.expired(c.now, leaderless) {
			delete(c.pending, id)
			pending.fail()
			continue
		}
		wakeIn(pending.deadline.Sub(c.now))
		if pending.unansweredAttempts == 0 {
			wakeIn(pending.noLeaderDeadline.Sub(c.now))
			if leaderless {
				wakeIn(pending.leaderlessDeadline.Sub(c.now))
			}
		}
	}
}

// expired reports whether a request must be failed.
func (p *pendingRequest) expired(now time.Time, leaderless bool) bool {
	select {
	case <-p.done:
		// The caller waits for responseGracePeriod to learn whether it may have been processed.
		return true
	default:
	}
	return !now.Before(p.deadline) || p.unansweredAttempts == 0 && (!now.Before(p.noLeaderDeadline) || leaderless && !now.Before(p.leaderlessDeadline))
}

// leaderUnresponsive reports whether the leader has left a request unanswered for too long. It
// calls wakeIn with the delays until the next checks.
func (c *Client) leaderUnresponsive(wakeIn func(time.Duration)) bool {
	unresponsive := false
	timeout := c.attemptTimeout() + c.transferTime()
	for _, pending := range c.pending {
		if pending.sentAt.IsZero() {
			continue
		}
		// Any frame shows that the leader is up. A busy leader answers late, and a
		// reconnect would only add to its load.
		silentSince := pending.sentAt
		if c.lastFrameAt.After(silentSince) {
			silentSince = c.lastFrameAt
		}
		limit := timeout
		if pending.hold > 0 {
			limit, silentSince = timeout+pending.hold, pending.sentAt
		}
		if c.now.Sub(silentSince) > limit || c.now.Sub(pending.sentAt) > max(limit, maxRequestAttemptTimeout) {
			unresponsive = true
		} else {
			wakeIn(limit - c.now.Sub(silentSince) + time.Millisecond)
		}
	}
	return unresponsive
}

// attemptTimeout returns how long one attempt waits, not counting the transfer time of large bodies.
func (c *Client) attemptTimeout() time.Duration {
	if c.options.AttemptTimeout > 0 {
		return c.options.AttemptTimeout
	}
	return timing.RequestAttemptTimeout
}

// transferTime returns how long the requests in flight may take on a slow link. It is computed for
// all of them together, as a small request waits behind a large one.
func (c *Client) transferTime() time.Duration {
	bytes := 0
	for _, pending := range c.pending {
		if pending.sentAt.IsZero() {
			continue
		}
		bytes += len(pending.request.Body)
		if pending.request.Kind == rpc.KindGetConfig {
			bytes += c.largestResponse
		}
	}
	return time.Duration(bytes) * time.Second / minLinkBytesPerSecond
}
