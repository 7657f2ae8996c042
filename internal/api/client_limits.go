package api

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"tealpond/internal/gateway"
	"tealpond/internal/httpserver"
	"tealpond/internal/settings"
)

const (
	// reservedDescriptors is the part of limits.maxFds that is kept for files.
	reservedDescriptors = 200
	// minConnections is the least limit of connections of a kind, whatever limits.maxFds says.
	minConnections = 16
	// evictionLogInterval is how often evictions of clients are logged.
	evictionLogInterval = 10 * time.Second
)

// Copies of the text of a JSON body that are made on its way to the leader and into the log: a job or a
// configuration is decoded and encoded, a value is also held by the command and by the writes to disk.
const (
	documentCopies = 2
	valueCopies    = 10
)

// Bytes that the decoded form of a JSON body takes, besides copies of its text.
const (
	decodedObjectBytes = 512 // for each object
	decodedValueBytes  = 32  // for each other value of a list or an object
)

// connectionKind is what connections are for.
type connectionKind int

const (
	clientListener connectionKind = iota
	operatorListener
	readinessListener
	earlyRequests         // connections to runners for pipelined requests
	idleRunnerConnections // connections to runners that wait for the next request
)

// connectionShares are the fractions of the descriptors for sockets that connections of each kind may
// hold. The rest is for streams of other daemons and, at gateways, for one connection to a runner for
// each client.
var connectionShares = map[string]map[connectionKind]float64{
	edgeRole: {clientListener: 0.25, operatorListener: 0.5, readinessListener: 0.04},
	gatewayRole: {
		clientListener: 0.33, operatorListener: 0.1, readinessListener: 0.02, earlyRequests: 0.05, idleRunnerConnections: 0.08,
	},
}

// maxConnections returns the limit of open connections of a kind; 0 if the settings limit no
// descriptors.
func maxConnections(role string, kind connectionKind, limits settings.Limits) int {
	if limits.MaxFileDescriptors <= 0 {
		return 0
	}
	sockets := limits.MaxFileDescriptors - reservedDescriptors
	return max(int(connectionShares[role][kind]*float64(sockets)), minConnections)
}

// limitClients sets the limits of a listener's clients.
func (s *Server) limitClients(options *httpserver.Options, kind connectionKind) {
	options.Budget = s.clientBudget
	options.MaxConnections = maxConnections(s.role, kind, s.settings.Limits)
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

// reserveDecoded reserves memory for the decoded form of a JSON body, and for copies of its text on the
// way to the leader, until the request has ended.
func reserveDecoded(ctx context.Context, raw []byte, copies int) *statusError {
	objects, values := bytes.Count(raw, []byte("{")), bytes.Count(raw, []byte(","))
	if !httpserver.Reserve(ctx, int64(copies*len(raw)+decodedObjectBytes*objects+decodedValueBytes*values)) {
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
