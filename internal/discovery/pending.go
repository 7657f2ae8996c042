package discovery

import (
	"context"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

const (
	// maxRequestAttemptTimeout bounds an attempt of a request to a leader that keeps answering other
	// requests.
	maxRequestAttemptTimeout = 2 * time.Second
	// minLinkBytesPerSecond is the slowest rate of a link, in bytes a second, at which a large request
	// or response isn't taken for silence: half of a link of 2 Mbit/s, the rest being left to others.
	minLinkBytesPerSecond = 125_000
	// leaderWaitTimeout is how long a client's request waits for a leader before it is refused; an
	// election takes about as long.
	leaderWaitTimeout = 1300 * time.Millisecond
	// knownNoLeaderWait is how long a client's request waits while it is known that no leader can be
	// reached.
	knownNoLeaderWait = 250 * time.Millisecond
	// operatorLeaderWait is how long an operator's request waits for a leader; operators turn to the
	// next daemon after a second.
	operatorLeaderWait = 500 * time.Millisecond
)

const (
	// defaultRequestTimeout is how long a request may take if its context has no
	// deadline.
	defaultRequestTimeout = time.Minute
	// lastResponseWait is how long a caller whose context has ended waits for the
	// loop to say whether the request may have been taken.
	lastResponseWait = 20 * time.Millisecond
)

// pendingRequest is a request whose caller waits for the response.
type pendingRequest struct {
	request  rpc.Request
	reply    chan rpc.Response
	deadline time.Time
	// noLeaderBy is when a request that no leader can have taken is given up,
	// leaderlessBy the same while it is known that no leader is in reach.
	noLeaderBy, leaderlessBy time.Time
	sentAt                   time.Time // zero while not under way
	// unanswered counts the times that it was sent and may have been taken.
	unanswered int
	done       <-chan struct{} // of the caller's context
	hold       time.Duration   // for which the leader may hold it
}

// newPendingRequest sets the times by which a request is given up, by its kind and
// its context.
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
		timeouts.any = timeout
	}
	return &pendingRequest{request: request, reply: make(chan rpc.Response, 1), deadline: deadline,
		noLeaderBy: now.Add(timeouts.any), leaderlessBy: now.Add(timeouts.leaderless), done: ctx.Done(), hold: HoldOf(ctx)}
}

// wait waits for the response, and a moment longer than the context.
func (p *pendingRequest) wait(ctx context.Context) rpc.Response {
	select {
	case response := <-p.reply:
		return response
	case <-ctx.Done():
	}
	select {
	case response := <-p.reply:
		return response
	case <-time.After(lastResponseWait):
		return rpc.Response{Code: rpc.CodeTimeout}
	}
}

// fail ends a request that is given up.
func (p *pendingRequest) fail() {
	code := rpc.CodeNoLeader
	if p.unanswered > 0 {
		code = rpc.CodeTimeout
	}
	p.reply <- rpc.Response{Code: code}
}

// leaderTimeouts is how long a request waits for a leader: at most, and while it
// is known that none is in reach.
type leaderTimeouts struct{ any, leaderless time.Duration }

// leaderTimeoutsByKind differ by the kind of request: clients lose more by being
// rejected in an election than operators, who go on to the next daemon.
var leaderTimeoutsByKind = map[string]leaderTimeouts{
	rpc.KindSubmitJob: {leaderWaitTimeout, knownNoLeaderWait},
	rpc.KindJobStatus: {leaderWaitTimeout, knownNoLeaderWait},
	rpc.KindCancelJob: {leaderWaitTimeout, knownNoLeaderWait},
	rpc.KindPutConfig: {operatorLeaderWait, 0},
	rpc.KindGetConfig: {operatorLeaderWait, 0},
}

// Call encodes the body and carries the request to the leader, again if need be,
// until ctx ends. It is safe for concurrent use. The response's code is
// rpc.CodeNoLeader if no leader took the request, rpc.CodeTimeout if one may have,
// and the leader's otherwise.
func (c *Client) Call(ctx context.Context, kind string, body any) rpc.Response {
	return c.Do(ctx, rpc.Request{Kind: kind, Body: transport.Encode(body)})
}

// Do is Call with a body that is already encoded.
func (c *Client) Do(ctx context.Context, request rpc.Request) rpc.Response {
	return c.Enqueue(ctx, request)()
}

// Enqueue is Do in two steps: when it returns, the request is queued behind all
// that were enqueued before; the function that it returns waits for the response.
func (c *Client) Enqueue(ctx context.Context, request rpc.Request) func() rpc.Response {
	pending := newPendingRequest(ctx, request)
	select {
	case c.events <- clientEvent{request: pending}:
	case <-ctx.Done():
		return func() rpc.Response { return rpc.Response{Code: rpc.CodeNoLeader} }
	}
	return func() rpc.Response { return pending.wait(ctx) }
}

// send sends a request, if there is a connection.
func (c *Client) send(id uint64, pending *pendingRequest) {
	if c.stream == nil {
		return
	}
	if c.stream.Send(transport.Frame{Kind: rpc.FrameRequest, ID: id, Body: transport.Encode(pending.request)}) {
		pending.sentAt = c.now
		pending.unanswered++
	}
}

// onResponse hands a response to its caller, or leaves a daemon that doesn't lead.
func (c *Client) onResponse(ctx context.Context, id uint64, response rpc.Response) {
	pending := c.pending[id]
	if pending == nil {
		return
	}
	if response.Code == rpc.CodeNotLeader || response.Code == rpc.CodeLeadershipLost {
		// The request stays pending, and is sent again on the next connection:
		// requests are idempotent.
		if response.Leader != "" {
			c.leader = response.Leader
		}
		if response.Code == rpc.CodeNotLeader {
			pending.unanswered--
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

// expireRequests ends the requests whose time is over, and those that wait for a
// leader in vain; wakeIn takes when to check again.
func (c *Client) expireRequests(wakeIn func(time.Duration)) {
	leaderless := c.leaderless(c.now)
	for id, pending := range c.pending {
		if pending.expired(c.now, leaderless) {
			delete(c.pending, id)
			pending.fail()
			continue
		}
		wakeIn(pending.deadline.Sub(c.now))
		if pending.unanswered == 0 {
			wakeIn(pending.noLeaderBy.Sub(c.now))
			if leaderless {
				wakeIn(pending.leaderlessBy.Sub(c.now))
			}
		}
	}
}

// expired reports whether a request is to be given up.
func (p *pendingRequest) expired(now time.Time, leaderless bool) bool {
	select {
	case <-p.done:
		// Its caller waits for a moment longer, to learn whether it was taken.
		return true
	default:
	}
	return !now.Before(p.deadline) || p.unanswered == 0 && (!now.Before(p.noLeaderBy) || leaderless && !now.Before(p.leaderlessBy))
}

// leaderUnresponsive reports whether the leader left a request without a response for too
// long; wakeIn takes when to check again.
func (c *Client) leaderUnresponsive(wakeIn func(time.Duration)) bool {
	silent := false
	timeout := c.attemptTimeout() + c.transferTime()
	for _, pending := range c.pending {
		if pending.sentAt.IsZero() {
			continue
		}
		// Any frame shows that the leader is up: a busy one answers late, and
		// to reconnect would only add to its load.
		unresponsiveSince := pending.sentAt
		if c.lastFrameAt.After(unresponsiveSince) {
			unresponsiveSince = c.lastFrameAt
		}
		patience := timeout
		if pending.hold > 0 {
			patience, unresponsiveSince = timeout+pending.hold, pending.sentAt
		}
		if c.now.Sub(unresponsiveSince) > patience || c.now.Sub(pending.sentAt) > max(patience, maxRequestAttemptTimeout) {
			silent = true
		} else {
			wakeIn(patience - c.now.Sub(unresponsiveSince) + time.Millisecond)
		}
	}
	return silent
}

// attemptTimeout is how long one attempt waits, without the time of large transfers.
func (c *Client) attemptTimeout() time.Duration {
	if c.options.AttemptTimeout > 0 {
		return c.options.AttemptTimeout
	}
	return timing.RequestAttemptTimeout
}

// transferTime is how long the requests under way may take on a slow link, all
// together, since a small one waits behind a large one.
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
