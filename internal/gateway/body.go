package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// maxReplayBytes is how much of a request's body is kept for a retry, in bytes.
const maxReplayBytes = 512 << 10

// requestBody is a client's body that can be sent to another runner after the first one
// refused it: what was read of it is kept, up to maxReplayBytes.
//
// The HTTP library may go on reading for an attempt whose answer is there already, while
// the next one begins: mu guards the client's body, and whatever any attempt reads is
// kept for the others.
type requestBody struct {
	mu     sync.Mutex
	source io.Reader
	kept   []byte
	lost   bool // more was read than is kept
	ended  error
}

// canReplay reports whether the body can be sent again from its beginning.
func (b *requestBody) canReplay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.lost && (b.ended == nil || errors.Is(b.ended, io.EOF))
}

// attemptBody is the body as one attempt sends it. Since it can't be rewound, the HTTP
// library never repeats the request by itself.
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
	if a.closed.Load() || b.lost && a.offset < len(b.kept) {
		return 0, io.ErrClosedPipe
	}
	if a.offset < len(b.kept) {
		n := copy(into, b.kept[a.offset:])
		a.offset += n
		return n, nil
	}
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.source.Read(into)
	switch {
	case b.lost:
	case len(b.kept)+n > maxReplayBytes:
		b.kept, b.lost = nil, true
	default:
		b.kept = append(b.kept, into[:n]...)
	}
	a.offset += n
	b.ended = err
	return n, err
}

// Close implements io.Closer. The client's body stays open for a retry.
func (a *attemptBody) Close() error {
	a.closed.Store(true)
	return nil
}

// newRequestBody makes the body of a client's request; nil if it has none.
func newRequestBody(request *http.Request) *requestBody {
	if request.ContentLength == 0 || request.Body == nil {
		return nil
	}
	return &requestBody{source: request.Body}
}

// emptyBody is an empty body that keeps the HTTP library from repeating a request by
// itself on another connection: an arrival that nobody asked for.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// bodyFor returns the body of an attempt.
func bodyFor(request *http.Request, body *requestBody) io.ReadCloser {
	switch {
	case body != nil:
		return &attemptBody{body: body}
	case repeatableByLibrary(request):
		return emptyBody{}
	}
	return http.NoBody
}

// repeatableByLibrary reports whether the HTTP library would send a request without a body
// again if its connection fails.
func repeatableByLibrary(request *http.Request) bool {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return request.Header.Get("Idempotency-Key") != "" || request.Header.Get("X-Idempotency-Key") != ""
}
