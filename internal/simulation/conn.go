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
	space         chan struct{} // has an element if Write must look again
	closed        bool
	peerClosed    bool
	deadline      time.Time // of reads; zero if there is none
	writeDeadline time.Time // zero if there is none
	window        int       // how many bytes may be on their way to this end or unread
}

// newConnPair connects two hosts.
func newConnPair(n *Network, localIP, remoteIP string) (*conn, *conn) {
	local := &conn{network: n, local: localIP, remote: remoteIP, wake: make(chan struct{}, 1), space: make(chan struct{}, 1), window: connWindow}
	remote := &conn{network: n, local: remoteIP, remote: localIP, wake: make(chan struct{}, 1), space: make(chan struct{}, 1), window: connWindow}
	local.peer, remote.peer = remote, local
	n.mu.Lock()
	n.conns[local], n.conns[remote] = true, true
	n.mu.Unlock()
	return local, remote
}

func (c *conn) wakeReader() { signal(c.wake) }

// signal puts an element into a channel that has none.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
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
			signal(c.peer.space)
			return n, 0, nil
		}
	case c.peerClosed && !blocked:
		return 0, 0, io.EOF
	}
	if !c.deadline.IsZero() {
		if !now.Before(c.deadline) {
			return 0, 0, os.ErrDeadlineExceeded
		}
		if left := c.deadline.Sub(now); wait < 0 || left < wait {
			wait = left
		}
	}
	return 0, wait, errWouldBlock
}

// Write sends bytes on their way. It waits only where a host's link has a rate, for the
// other end to read.
func (c *conn) Write(p []byte) (int, error) {
	if !c.network.hasRate(c.local, c.remote) {
		return len(p), c.send(p)
	}
	written := 0
	for written < len(p) {
		if err := c.awaitSpace(); err != nil {
			return written, err
		}
		part := p[written:min(written+linkPart, len(p))]
		if err := c.send(part); err != nil {
			return written, err
		}
		written += len(part)
	}
	return written, nil
}

// send sends bytes on their way at once.
func (c *conn) send(p []byte) error {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	peer := c.peer
	peer.mu.Lock()
	defer peer.wakeReader()
	defer peer.mu.Unlock()
	if peer.closed {
		return errReset
	}
	peer.inbox = append(peer.inbox, chunk{c.network.arrival(c.local, c.remote, len(p)), append([]byte(nil), p...)})
	return nil
}

// awaitSpace waits until the other end has read enough.
func (c *conn) awaitSpace() error {
	for {
		c.mu.Lock()
		closed, deadline := c.closed, c.writeDeadline
		c.mu.Unlock()
		full, peerClosed := c.peer.isFull()
		switch {
		case closed:
			return net.ErrClosed
		case peerClosed:
			return errReset
		case !full:
			return nil
		case !deadline.IsZero() && !time.Now().Before(deadline):
			return os.ErrDeadlineExceeded
		case deadline.IsZero():
			<-c.space
			continue
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-c.space:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// isFull reports whether as much is on its way to this end, or not read yet, as its window
// allows, and whether it is closed.
func (c *conn) isFull() (full, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unread := 0
	for _, chunk := range c.inbox {
		unread += len(chunk.data)
	}
	return unread >= c.window, c.closed
}

// SetReadBuffer sets how many bytes may be on their way to this end or unread.
func (c *conn) SetReadBuffer(bytes int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window = bytes
	return nil
}

// Close closes both ways. What is on its way still arrives.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wakeReader()
	signal(c.space)
	signal(c.peer.space)
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

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t) // it always succeeds
	return c.SetReadDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.wakeReader()
	return nil
}

// SetWriteDeadline sets the deadline of writes, which wait only where a link has a rate.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	signal(c.space)
	return nil
}
