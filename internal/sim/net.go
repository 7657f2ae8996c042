// Package sim runs whole daemons in one process on stand-ins for network,
// runner and machine, for tests. Time is the test's own (testing/synctest).
package sim

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Net is a network of hosts. Cuts hold bytes back; ended hosts reset.
type Net struct {
	mu    sync.Mutex
	ports map[string]*port
	conns map[*conn]bool
	cuts  map[[2]string]bool
	delay time.Duration
	slow  map[string]time.Duration // added to all that goes from or to a host
}

// NewNet builds an empty network.
func NewNet() *Net {
	return &Net{ports: map[string]*port{}, conns: map[*conn]bool{}, cuts: map[[2]string]bool{}, slow: map[string]time.Duration{}, delay: 500 * time.Microsecond}
}

// Host is the network as seen from one address.
type Host struct {
	n  *Net
	ip string
}

// Host gives a host's view.
func (n *Net) Host(ip string) *Host { return &Host{n, ip} }

func ipOf(addr string) string {
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return ip
}

// Cut stops what goes from one host to another, that way only.
func (n *Net) Cut(from, to string) { n.mu.Lock(); n.cuts[[2]string{from, to}] = true; n.mu.Unlock() }

// Join ends a cut; what it held back goes on.
func (n *Net) Join(from, to string) {
	n.mu.Lock()
	delete(n.cuts, [2]string{from, to})
	var wake []*conn
	for c := range n.conns {
		wake = append(wake, c)
	}
	n.mu.Unlock()
	for _, c := range wake {
		c.poke()
	}
}

func (n *Net) cut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

// Slow adds a delay to all that goes from or to a host; 0 takes it away.
func (n *Net) Slow(ip string, d time.Duration) { n.mu.Lock(); n.slow[ip] = d; n.mu.Unlock() }

func (n *Net) lag(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay + n.slow[from] + n.slow[to]
}

// Reset ends all connections of a host; its ports stay open.
func (n *Net) Reset(ip string) {
	n.mu.Lock()
	var cs []*conn
	for c := range n.conns {
		if c.from == ip || c.to == ip {
			cs = append(cs, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
	}
}

// Down resets all connections and ports of a host.
func (n *Net) Down(ip string) {
	n.mu.Lock()
	var ps []*port
	for a, p := range n.ports {
		if ipOf(a) == ip {
			ps = append(ps, p)
		}
	}
	n.mu.Unlock()
	for _, p := range ps {
		_ = p.Close()
	}
	n.Reset(ip)
}

type port struct {
	n    *Net
	addr string
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

func (p *port) Accept() (net.Conn, error) {
	select {
	case c := <-p.in:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *port) Close() error {
	p.once.Do(func() {
		close(p.done)
		p.n.mu.Lock()
		if p.n.ports[p.addr] == p {
			delete(p.n.ports, p.addr)
		}
		p.n.mu.Unlock()
	})
	return nil
}

func (p *port) Addr() net.Addr { return addr(p.addr) }

type addr string

func (a addr) Network() string { return "sim" }
func (a addr) String() string  { return string(a) }

// Listen opens a port.
func (h *Host) Listen(_ context.Context, a string) (net.Listener, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if h.n.ports[a] != nil {
		return nil, errors.New("sim: port in use: " + a)
	}
	p := &port{n: h.n, addr: a, in: make(chan net.Conn, 64), done: make(chan struct{})}
	h.n.ports[a] = p
	return p, nil
}

// Dial connects, if both ways are open; otherwise it hangs as a real one does.
func (h *Host) Dial(ctx context.Context, a string) (net.Conn, error) {
	to := ipOf(a)
	if h.n.cut(h.ip, to) || h.n.cut(to, h.ip) {
		t := time.NewTimer(500 * time.Millisecond)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		return nil, os.ErrDeadlineExceeded
	}
	h.n.mu.Lock()
	p := h.n.ports[a]
	h.n.mu.Unlock()
	if p == nil {
		return nil, errors.New("sim: refused: " + a)
	}
	x, y := pair(h.n, h.ip, to)
	select {
	case p.in <- y:
		return x, nil
	case <-p.done:
	case <-ctx.Done():
	}
	return nil, errors.New("sim: refused: " + a)
}

// DialContext has the shape that http.Transport wants.
func (h *Host) DialContext(ctx context.Context, _, a string) (net.Conn, error) { return h.Dial(ctx, a) }

type chunk struct {
	at  time.Time
	raw []byte
}

// conn is one end of a connection; buf holds what is on its way to it.
type conn struct {
	n        *Net
	from, to string
	peer     *conn
	mu       sync.Mutex
	buf      []chunk
	wake     chan struct{}
	closed   bool
	gone     bool
	limit    time.Time
}

func pair(n *Net, a, b string) (*conn, *conn) {
	x := &conn{n: n, from: a, to: b, wake: make(chan struct{}, 1)}
	y := &conn{n: n, from: b, to: a, wake: make(chan struct{}, 1)}
	x.peer, y.peer = y, x
	n.mu.Lock()
	n.conns[x], n.conns[y] = true, true
	n.mu.Unlock()
	return x, y
}

func (c *conn) poke() {
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
		held := c.n.cut(c.to, c.from)
		switch {
		case c.closed:
			c.mu.Unlock()
			return 0, net.ErrClosed
		case len(c.buf) > 0 && !held:
			if wait = c.buf[0].at.Sub(now); wait <= 0 {
				k := copy(p, c.buf[0].raw)
				if c.buf[0].raw = c.buf[0].raw[k:]; len(c.buf[0].raw) == 0 {
					c.buf = c.buf[1:]
				}
				c.mu.Unlock()
				return k, nil
			}
		case c.gone && !held:
			c.mu.Unlock()
			return 0, io.EOF
		case !c.limit.IsZero() && !now.Before(c.limit):
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if !c.limit.IsZero() {
			if d := c.limit.Sub(now); wait < 0 || d < wait {
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
	q := c.peer
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		return 0, errors.New("sim: reset")
	}
	q.buf = append(q.buf, chunk{time.Now().Add(c.n.lag(c.from, c.to)), append([]byte(nil), p...)})
	q.mu.Unlock()
	q.poke()
	return len(p), nil
}

// Close ends both ways.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.poke()
	c.peer.mu.Lock()
	c.peer.gone = true
	c.peer.mu.Unlock()
	c.peer.poke()
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.from + ":0") }
func (c *conn) RemoteAddr() net.Addr { return addr(c.to + ":0") }

// SetDeadline bounds reads; writes never wait.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.limit = t
	c.mu.Unlock()
	c.poke()
	return nil
}
func (c *conn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }
func (c *conn) SetWriteDeadline(time.Time) error  { return nil }
