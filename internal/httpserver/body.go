package httpserver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Errors of a body whose client was cut off by the server. Handlers refuse the request.
var (
	// ErrBodyEvicted means that the memory for clients is used up.
	ErrBodyEvicted = errors.New("body was evicted, since the memory for clients is used up")
	// ErrBodyTimeout means that no byte arrived for Options.BodyTimeout.
	ErrBodyTimeout = errors.New("no byte of the body arrived in time")
)

// connKey is the context key of a request's conn.
type connKey struct{}

// trackedBody is the body of a request. It charges the bytes that the handler reads.
type trackedBody struct {
	io.ReadCloser
	conn   *conn
	number int64 // of the request on its connection
	read   int64
}

// track returns the request as its handler gets it, and records on its connection that it is handled.
func (c *conn) track(request *http.Request) *http.Request {
	hasBody := request.Body != nil && request.Body != http.NoBody
	number := c.beginHandling(request.Header, c.server.options.RequestBytes, hasBody)
	if !hasBody {
		return request
	}
	tracked := *request
	tracked.Body = &trackedBody{ReadCloser: request.Body, conn: c, number: number}
	return &tracked
}

// Read implements io.Reader.
func (b *trackedBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if n > 0 && !b.charge(int64(n)) {
		b.conn.account.evictSelf()
		return 0, ErrBodyEvicted
	}
	switch {
	case errors.Is(err, io.EOF):
		b.conn.endBody(b.number)
	case errors.Is(err, os.ErrDeadlineExceeded) && b.conn.account.isEvicted():
		return n, ErrBodyEvicted
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, ErrBodyTimeout
	}
	return n, err
}

// charge charges n more bytes. A handler that keeps no more than Options.MaxHeldBodyBytes drops all of
// a larger body.
func (b *trackedBody) charge(n int64) bool {
	maxHeld := b.conn.server.options.MaxHeldBodyBytes
	before := b.read
	b.read += n
	switch {
	case maxHeld <= 0 || b.read <= maxHeld:
		return b.conn.account.charge(n*bodyBytesPerByte, time.Now())
	case before <= maxHeld:
		return b.conn.account.charge(-before*bodyBytesPerByte, time.Now())
	}
	return true
}

// Reserve charges memory for the rest of a request, such as for the decoded form of its body, and
// reports whether there is room for it. The context is that of the request. Without a budget there
// always is.
func Reserve(ctx context.Context, bytes int64) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return !ok || c.account.charge(bytes, time.Now())
}
