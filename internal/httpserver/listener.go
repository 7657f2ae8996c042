package httpserver

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// lastAcceptTime is how long pending connections are accepted as a daemon closes its listener.
const lastAcceptTime = 10 * time.Millisecond

// listener accepts the connections of a Server.
type listener struct {
	net.Listener
	server  *Server
	closing atomic.Bool // what waits is accepted, and no more
	closed  atomic.Bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	switch {
	case err == nil:
		boundReceiveBuffer(raw, l.server.options.ReceiveBuffer)
		return newConn(raw, l.server), nil
	case l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		_ = l.Close()
		return nil, net.ErrClosed
	}
	return nil, err
}

// boundReceiveBuffer bounds the receive buffer of a connection; 0 leaves it as it is. A kind
// of connection that has none stays as it is too.
func boundReceiveBuffer(conn net.Conn, bytes int) {
	if bounded, ok := conn.(interface{ SetReadBuffer(bytes int) error }); ok && bytes > 0 {
		_ = bounded.SetReadBuffer(bytes) // without it other messages come later
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.closed.Store(true)
	return err
}

// closeSoon accepts for a moment what waits to be accepted, and closes the listener: the
// kernel resets connections that wait there when it is closed.
func (l *listener) closeSoon() {
	l.closing.Store(true)
	socket, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || socket.SetDeadline(time.Now().Add(lastAcceptTime)) != nil {
		_ = l.Close()
	}
}
