package simulation

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// chunk is the data of one call of send.
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
	inbox         []chunk       // sent to this end and not read yet
	readWakeup    chan struct{} // has an element if Read must check again
	writeWakeup   chan struct{} // has an element if Write must check again
	closed        bool
	peerClosed    bool
	deadline      time.Time // of reads; zero if there is none
	writeDeadline time.Time // zero if there is none
	receiveWindow int       // maximum number of bytes in flight to this end or unread
}

// newConnPair connects two hosts.
func newConnPair(n *Network, localIP, remoteIP string) (*conn, *conn) {
	local := &conn{network: n, local: localIP, remote: remoteIP, readWakeup: make(chan struct{}, 1), writeWakeup: make(chan struct{}, 1), receiveWindow: defaultReceiveWindow}
	remote := &conn{network: n, local: remoteIP, remote: localIP, readWakeup: make(chan struct{}, 1), writeWakeup: make(chan struct{}, 1), receiveWindow: defaultReceiveWindow}
	local.peer, remote.peer = remote, local
	n.mu.Lock()
	n.conns[local], n.conns[remote] = true, true
	n.mu.Unlock()
	return local, remote
}

func (c *conn) wakeReader() { signal(c.readWakeup) }

// signal puts an element into a channel of capacity one, unless it has one already.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// errWouldBlock means that no data can be read yet.
var errWouldBlock = errors.New("simulation: no data to read yet")

// Read waits until data has arrived. While the direction to this end is blocked, neither
// data nor the end of the connection arrives.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, wait, err := c.tryRead(p)
		if !errors.Is(err, errWouldBlock) {
			return n, err
		}
		if wait < 0 {
			<-c.readWakeup
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-c.readWakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryRead is Read without waiting. With errWouldBlock it returns the time until data arrives
// or the deadline expires, or a negative duration if neither is known.
func (c *conn) tryRead(p []byte) (n int, wait time.Duration, err error) {
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
			signal(c.peer.writeWakeup)
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

// Write sends data. It blocks only if the link of one of the hosts has a rate limit, until the
// other end's receive window is not full.
func (c *conn) Write(p []byte) (int, error) {
	if !c.network.isRateLimited(c.local, c.remote) {
		return len(p), c.send(p)
	}
	written := 0
	for written < len(p) {
		if err := c.awaitWindow(); err != nil {
			return written, err
		}
		segment := p[written:min(written+maxLinkSegment, len(p))]
		if err := c.send(segment); err != nil {
			return written, err
		}
		written += len(segment)
	}
	return written, nil
}

// send sends data without waiting.
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
	peer.inbox = append(peer.inbox, chunk{c.network.arrivalTime(c.local, c.remote, len(p)), append([]byte(nil), p...)})
	return nil
}

// awaitWindow waits until the other end's receive window is not full.
func (c *conn) awaitWindow() error {
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
			<-c.writeWakeup
			continue
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-c.writeWakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// isFull reports whether the receive window of this end is full, and whether the end is closed.
func (c *conn) isFull() (full, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unread := 0
	for _, chunk := range c.inbox {
		unread += len(chunk.data)
	}
	return unread >= c.receiveWindow, c.closed
}

// SetReadBuffer sets the size of this end's receive window.
func (c *conn) SetReadBuffer(bytes int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiveWindow = bytes
	return nil
}

// Close closes both directions. Data in flight to the other end still arrives.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wakeReader()
	signal(c.writeWakeup)
	signal(c.peer.writeWakeup)
	c.peer.mu.Lock()
	c.peer.peerClosed = true
	c.peer.mu.Unlock()
	c.peer.wakeReader()
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return nil
}

// LocalAddr returns the address of this end. The ports of dialers are not simulated.
func (c *conn) LocalAddr() net.Addr { return simAddr(c.local + ":0") }

// RemoteAddr returns the address of the other end.
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

// SetWriteDeadline sets the deadline of writes, which block only on links with a rate limit.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	signal(c.writeWakeup)
	return nil
}
