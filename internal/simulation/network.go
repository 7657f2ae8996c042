// Package simulation runs whole daemons in one process on stand-ins for network,
// runner and machine, for tests. Time is the test's own (testing/synctest).
package simulation

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Network is a network of hosts. Cuts hold bytes back; ended hosts reset.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	conns      map[*conn]bool
	blocked    map[[2]string]bool
	delay      time.Duration
	extraDelay map[string]time.Duration // added to all that goes from or to a host
}

// NewNetwork builds an empty network.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]bool{}, blocked: map[[2]string]bool{}, extraDelay: map[string]time.Duration{}, delay: 500 * time.Microsecond}
}

// Host is the network as seen from one address.
type Host struct {
	network *Network
	ip      string
}

// Host gives a host's view.
func (n *Network) Host(ip string) *Host { return &Host{n, ip} }

func hostPart(addr string) string {
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return ip
}

// Block stops what goes from one host to another, that way only.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	n.blocked[[2]string{from, to}] = true
	n.mu.Unlock()
}

// Unblock ends a cut; what it held back goes on.
func (n *Network) Unblock(from, to string) {
	n.mu.Lock()
	delete(n.blocked, [2]string{from, to})
	var wake []*conn
	for c := range n.conns {
		wake = append(wake, c)
	}
	n.mu.Unlock()
	for _, c := range wake {
		c.wakeReader()
	}
}

func (n *Network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[[2]string{from, to}]
}

// SetDelay adds a delay to all that goes from or to a host; 0 takes it away.
func (n *Network) SetDelay(ip string, d time.Duration) {
	n.mu.Lock()
	n.extraDelay[ip] = d
	n.mu.Unlock()
}

func (n *Network) latency(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay + n.extraDelay[from] + n.extraDelay[to]
}

// ResetConnections ends all connections of a host; its ports stay open.
func (n *Network) ResetConnections(ip string) {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		if c.local == ip || c.remote == ip {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// TakeDown resets all connections and ports of a host.
func (n *Network) TakeDown(ip string) {
	n.mu.Lock()
	var listeners []*listener
	for addr, l := range n.listeners {
		if hostPart(addr) == ip {
			listeners = append(listeners, l)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	n.ResetConnections(ip)
}

type listener struct {
	network  *Network
	addr     string
	incoming chan net.Conn
	done     chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
		l.network.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (a address) Network() string { return "sim" }
func (a address) String() string  { return string(a) }

// Listen opens a port.
func (h *Host) Listen(_ context.Context, addr string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[addr] != nil {
		return nil, errors.New("sim: port in use: " + addr)
	}
	l := &listener{network: h.network, addr: addr, incoming: make(chan net.Conn, 64), done: make(chan struct{})}
	h.network.listeners[addr] = l
	return l, nil
}

// Dial connects, if both ways are open; otherwise it hangs as a real one does.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to := hostPart(addr)
	if h.network.isBlocked(h.ip, to) || h.network.isBlocked(to, h.ip) {
		t := time.NewTimer(500 * time.Millisecond)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		return nil, os.ErrDeadlineExceeded
	}
	h.network.mu.Lock()
	l := h.network.listeners[addr]
	h.network.mu.Unlock()
	if l == nil {
		return nil, errors.New("sim: refused: " + addr)
	}
	local, remote := newConnPair(h.network, h.ip, to)
	select {
	case l.incoming <- remote:
		return local, nil
	case <-l.done:
	case <-ctx.Done():
	}
	return nil, errors.New("sim: refused: " + addr)
}

// DialContext has the shape that http.Transport wants.
func (h *Host) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	return h.Dial(ctx, addr)
}

type chunk struct {
	arrivesAt time.Time
	data      []byte
}

// conn is one end of a connection; buf holds what is on its way to it.
type conn struct {
	network       *Network
	local, remote string
	peer          *conn
	mu            sync.Mutex
	inbox         []chunk
	wake          chan struct{}
	closed        bool
	peerClosed    bool
	deadline      time.Time
}

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

// Read waits for bytes that have arrived; a cut holds them back.
func (c *conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		now := time.Now()
		wait := time.Duration(-1)
		blocked := c.network.isBlocked(c.remote, c.local)
		switch {
		case c.closed:
			c.mu.Unlock()
			return 0, net.ErrClosed
		case len(c.inbox) > 0 && !blocked:
			if wait = c.inbox[0].arrivesAt.Sub(now); wait <= 0 {
				k := copy(p, c.inbox[0].data)
				if c.inbox[0].data = c.inbox[0].data[k:]; len(c.inbox[0].data) == 0 {
					c.inbox = c.inbox[1:]
				}
				c.mu.Unlock()
				return k, nil
			}
		case c.peerClosed && !blocked:
			c.mu.Unlock()
			return 0, io.EOF
		case !c.deadline.IsZero() && !now.Before(c.deadline):
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if !c.deadline.IsZero() {
			if d := c.deadline.Sub(now); wait < 0 || d < wait {
				wait = d
			}
		}
		c.mu.Unlock()
		if wait < 0 {
			<-c.wake
			continue
		}
		t := time.NewTimer(wait)
		select {
		case <-c.wake:
		case <-t.C:
		}
		t.Stop()
	}
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
		return 0, errors.New("sim: reset")
	}
	peer.inbox = append(peer.inbox, chunk{time.Now().Add(c.network.latency(c.local, c.remote)), append([]byte(nil), p...)})
	peer.mu.Unlock()
	peer.wakeReader()
	return len(p), nil
}

// Close ends both ways.
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

func (c *conn) LocalAddr() net.Addr  { return address(c.local + ":0") }
func (c *conn) RemoteAddr() net.Addr { return address(c.remote + ":0") }

// SetDeadline bounds reads; writes never wait.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.wakeReader()
	return nil
}
func (c *conn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }
func (c *conn) SetWriteDeadline(time.Time) error  { return nil }
