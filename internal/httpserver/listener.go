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

// slotPollInterval is how often a listener at its limit of connections tries to free one.
const slotPollInterval = 10 * time.Millisecond

// Accept implements net.Listener. At the limit of connections it first evicts one, or waits until one
// is closed.
func (l *listener) Accept() (net.Conn, error) {
	hasSlot := l.takeSlot()
	raw, err := l.Listener.Accept()
	if err != nil && hasSlot {
		<-l.server.slots
	}
	switch {
	case err == nil:
		limitReceiveBuffer(raw, l.server.options.ReceiveBuffer)
		return newConn(raw, l.server, hasSlot), nil
	case l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		_ = l.Close()
		return nil, net.ErrClosed
	}
	return nil, err
}

// takeSlot takes a slot for the next connection. It returns false if connections are not limited, or
// if the listener is closing and accepts only what is pending.
func (l *listener) takeSlot() bool {
	if l.server.slots == nil {
		return false
	}
	for {
		select {
		case l.server.slots <- struct{}{}:
			return true
		default:
		}
		if l.closing.Load() || l.closed.Load() {
			return false
		}
		l.server.options.Budget.evictFrom(l.server, time.Now())
		timer := time.NewTimer(slotPollInterval)
		select {
		case l.server.slots <- struct{}{}:
			timer.Stop()
			return true
		case <-timer.C:
		}
	}
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
