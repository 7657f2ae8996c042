// Package gateway is the HTTP reverse proxy that forwards client requests to runners.
//
// It handles a request within one daemon: route and tenant lookup, runner selection, attempts
// within the operator's retry limit, and the response. It does not know how the configuration
// and the runner list reach the daemon; both are passed in. HTTP itself is handled by net/http
// on both sides.
//
// The proxy never resends a request that is not safe to repeat to a second runner unless the
// first is known not to have run it, never changes a body, and never delivers a response to
// any caller other than the one whose attempt ID it carries.
package gateway
