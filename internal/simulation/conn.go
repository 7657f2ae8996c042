package simulation

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// chunk is what one call of Write sent.
type chunk struct {
	arrivesAt time.Time
	data      []byte
}

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote string // IP addresses
	peer          *conn
	mu            sync.Mutex
	inbox         []chunk       // on their way to this end
	wake          chan struct{} // has an element if Read must look again
	closed        bool
	peerClosed    bool
	deadline      time.Time // of reads; zero if there is none
}

// newConnPair connects two hosts.
func newConnPair(n *Network, localIP, remoteIP string) (*conn, *conn) {
	local := &conn{network: n, local: localIP, remote: remoteIP, wake: make(chan struct{}, 1)}
	remote := &conn{network: n, local: remoteIP, remote: localIP, wake: make(chan struct{}, 1)}
	local.peer, remote.peer = remote, local
	n.mu.Lock()
	n.conns[local], n.conns[remote] = true, true
	n.mu.Unlock()
	return local, remote
}

func (c *conn) wakeReader() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// errWouldBlock means that nothing can be read yet.
var errWouldBlock = errors.New("simulation: nothing to read yet")

// Read waits for bytes that have arrived. A blocked way holds them back, and the end
// of the connection too.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, wait, err := c.readNow(p)
		if !errors.Is(err, errWouldBlock) {
			return n, err
		}
		if wait < 0 {
			<-c.wake
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// readNow is Read without waiting. With errWouldBlock it gives the time until something
// arrives or the deadline is over, or a negative one if neither is known.
func (c *conn) readNow(p []byte) (n int, wait time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	wait = -1
	blocked := c.network.isBlocked(c.remote, c.local)
	switch {
	case c.closed:
		return 0, 0, net.ErrClosed
	case len(c.inbox) > 0 && !blocked:
		if wait = c.inbox[0].arrivesAt.Sub(now); wait <= 0 {
			n = copy(p, c.inbox[0].data)
			if c.inbox[0].data = c.inbox[0].data[n:]; len(c.inbox[0].data) == 0 {
				c.inbox = c.inbox[1:]
			}
			return n, 0, nil
		}
	case c.peerClosed && !blocked:
		return 0, 0, io.EOF
	case !c.deadline.IsZero() && !now.Before(c.deadline):
		return 0, 0, os.ErrDeadlineExceeded
	}
	if !c.deadline.IsZero() {
		if left := c.deadline.Sub(now); wait < 0 || left < wait {
			wait = left
		}
	}
	return 0, wait, errWouldBlock
}

// Write sends bytes on their way; it never blocks.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	peer := c.peer
	peer.mu.Lock()
	if peer.closed {
		peer.mu.Unlock()
		return 0, errReset
	}
	peer.inbox = append(peer.inbox, chunk{time.Now().Add(c.network.latency(c.local, c.remote)), append([]byte(nil), p...)})
	peer.mu.Unlock()
	peer.wakeReader()
	return len(p), nil
}

// Close closes both ways. What is on its way still arrives.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wakeReader()
	c.peer.mu.Lock()
	c.peer.peerClosed = true
	c.peer.mu.Unlock()
	c.peer.wakeReader()
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return nil
}

// LocalAddr is the address of this end. Ports of dialers are not simulated.
func (c *conn) LocalAddr() net.Addr { return simAddr(c.local + ":0") }

// RemoteAddr is the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return simAddr(c.remote + ":0") }

// SetDeadline sets the deadline of reads. Writes never wait.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.wakeReader()
	return nil
}

// SetReadDeadline is SetDeadline.
func (c *conn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }

// SetWriteDeadline does nothing, since writes never wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
