package httpserver

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// finalAcceptTime is how long pending connections are accepted before a listener is closed.
const finalAcceptTime = 10 * time.Millisecond

// listener accepts the connections of a Server.
type listener struct {
	net.Listener
	server  *Server
	closing atomic.Bool // only pending connections are still accepted
	closed  atomic.Bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	switch {
	case err == nil:
		limitReceiveBuffer(raw, l.server.options.ReceiveBuffer)
		return newConn(raw, l.server), nil
	case l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		_ = l.Close()
		return nil, net.ErrClosed
	}
	return nil, err
}

// limitReceiveBuffer limits the receive buffer of a connection; 0 keeps the default.
// Connections without such a buffer are left unchanged.
func limitReceiveBuffer(conn net.Conn, bytes int) {
	if buffered, ok := conn.(interface{ SetReadBuffer(bytes int) error }); ok && bytes > 0 {
		_ = buffered.SetReadBuffer(bytes) // on failure, messages of other daemons may be delayed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.closed.Store(true)
	return err
}

// acceptPendingAndClose accepts pending connections for a short time and then closes the
// listener, since the kernel resets connections that are still pending when it is closed.
func (l *listener) acceptPendingAndClose() {
	l.closing.Store(true)
	socket, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || socket.SetDeadline(time.Now().Add(finalAcceptTime)) != nil {
		_ = l.Close()
	}
}
