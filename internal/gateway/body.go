package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// MaxReplayBytes is the maximum size of a request body kept for a retry, in bytes.
	MaxReplayBytes = 512 << 10
	// RequestBytes is the memory for the connection to a runner and for copying a request and its
	// response, in bytes.
	RequestBytes = 48 << 10
)

// requestBody is a client's request body that can be resent to another runner. Up to
// MaxReplayBytes of what was read is buffered.
//
// The HTTP transport may still be reading the body for an attempt that already has its
// response while the next attempt starts. mu guards the client's body, and what any attempt
// reads is buffered for the others.
type requestBody struct {
	mu        sync.Mutex
	source    io.Reader
	buffered  []byte
	truncated bool // more was read than is buffered
	readErr   error
	read      int64 // bytes read so far
	// exceeds reports whether a body of some size is larger than allowed. A body in chunks announces no
	// size, so it is checked as it arrives.
	exceeds func(bytes int64) bool
	// tooLarge is set once the body was found to be too large. It is read without mu, which a read
	// holds while it waits for the client.
	tooLarge atomic.Bool
}

// errBodyTooLarge is the read error of a body that is larger than allowed.
var errBodyTooLarge = errors.New("body is larger than allowed")

// canReplay reports whether the body can be sent again from its start.
func (b *requestBody) canReplay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.truncated && (b.readErr == nil || errors.Is(b.readErr, io.EOF))
}

// attemptBody is the body of one attempt. It cannot be rewound, so the HTTP transport never
// retries the request itself.
type attemptBody struct {
	body   *requestBody
	offset int
	closed atomic.Bool
}

// Read implements io.Reader.
func (a *attemptBody) Read(into []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed.Load() || b.truncated && a.offset < len(b.buffered) {
		return 0, io.ErrClosedPipe
	}
	if a.offset < len(b.buffered) {
		n := copy(into, b.buffered[a.offset:])
		a.offset += n
		return n, nil
	}
	if b.readErr != nil {
		return 0, b.readErr
	}
	n, err := b.source.Read(into)
	if b.read += int64(n); b.exceeds(b.read) {
		b.readErr = errBodyTooLarge
		b.tooLarge.Store(true)
		return 0, errBodyTooLarge
	}
	switch {
	case b.truncated:
	case len(b.buffered)+n > MaxReplayBytes:
		b.buffered, b.truncated = nil, true
	default:
		b.buffered = append(b.buffered, into[:n]...)
	}
	a.offset += n
	b.readErr = err
	return n, err
}

// Close implements io.Closer. The client's body stays open for a retry.
func (a *attemptBody) Close() error {
	a.closed.Store(true)
	return nil
}

// newRequestBody returns the body of a client's request, or nil if it has none.
func newRequestBody(request *http.Request, exceeds func(bytes int64) bool) *requestBody {
	if request.ContentLength == 0 || request.Body == nil {
		return nil
	}
	return &requestBody{source: request.Body, exceeds: exceeds}
}

// emptyBody is an empty body that prevents the HTTP transport from retrying a request on
// another connection, which would reach the runner as an attempt this daemon did not make.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// outgoingBody returns the body of an attempt.
func outgoingBody(request *http.Request, body *requestBody) io.ReadCloser {
	switch {
	case body != nil:
		return &attemptBody{body: body}
	case retriedByTransport(request):
		return emptyBody{}
	}
	return http.NoBody
}

// retriedByTransport reports whether the HTTP transport would resend a request without a body
// if its connection fails.
func retriedByTransport(request *http.Request) bool {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return request.Header.Get("Idempotency-Key") != "" || request.Header.Get("X-Idempotency-Key") != ""
}
