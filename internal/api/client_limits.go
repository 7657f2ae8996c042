package api

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"tealpond/internal/gateway"
	"tealpond/internal/httpserver"
)

const (
	// evictionLogInterval is how often evictions of clients are logged.
	evictionLogInterval = 10 * time.Second
)

// Bytes that the decoded form of a JSON body takes, besides copies of its text.
const (
	decodedCopies      = 2   // of the text, on its way to the leader
	decodedObjectBytes = 512 // for each object
	decodedValueBytes  = 32  // for each other value of a list or an object
)

// listenerKind is what a listener serves.
type listenerKind int

const (
	clientListener listenerKind = iota
	operatorListener
	readinessListener
)

// limitClients sets the limits of a listener's clients.
func (s *Server) limitClients(options *httpserver.Options, kind listenerKind) {
	options.Budget = s.clientBudget
	if kind == clientListener && s.gateway != nil {
		options.MaxHeldBodyBytes, options.RequestBytes = gateway.MaxReplayBytes, gateway.RequestBytes
	}
}

// errClientMemory means that the request was dropped before anything was done, since clients hold all
// the memory that they may.
var errClientMemory = &statusError{http.StatusServiceUnavailable, "too many requests are being received, nothing was taken", 1}

// errBodyTimeout means that the request was dropped before anything was done, since its client stopped
// sending.
var errBodyTimeout = &statusError{status: http.StatusRequestTimeout, text: "the body did not arrive in time, nothing was taken"}

// bodyError maps the error of reading a body to the response.
func bodyError(err error) *statusError {
	switch {
	case errors.Is(err, httpserver.ErrBodyEvicted):
		return errClientMemory
	case errors.Is(err, httpserver.ErrBodyTimeout):
		return errBodyTimeout
	}
	return badRequest("the body ended early")
}

// reserveDecoded reserves memory for the decoded form of a JSON body, and for its copies on the way to
// the leader, until the request has ended.
func reserveDecoded(ctx context.Context, raw []byte) *statusError {
	objects, values := bytes.Count(raw, []byte("{")), bytes.Count(raw, []byte(","))
	if !httpserver.Reserve(ctx, int64(decodedCopies*len(raw)+decodedObjectBytes*objects+decodedValueBytes*values)) {
		return errClientMemory
	}
	return nil
}

// logEvictions logs every evictionLogInterval that clients were evicted since the last time, until ctx
// ends.
func (s *Server) logEvictions(ctx context.Context) {
	if s.clientBudget == nil {
		return
	}
	ticker := time.NewTicker(evictionLogInterval)
	defer ticker.Stop()
	logged := int64(0)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		used, limit, evicted := s.clientBudget.Usage()
		if evicted == logged {
			continue
		}
		_ = s.log.Log("level", "warn", "event", "clients.evicted", "count", evicted-logged, "held_bytes", used, "limit_bytes", limit)
		logged = evicted
	}
}
