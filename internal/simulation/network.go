package simulation

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// networkDelay is the one-way latency between two hosts.
	networkDelay = 500 * time.Microsecond
	// dialTimeout is how long a dial hangs if the path is blocked.
	dialTimeout = 500 * time.Millisecond
	// backlog is the number of connections that may be waiting to be accepted.
	backlog = 64
)

// Errors of the simulated network.
var (
	errPortInUse = errors.New("simulation: port in use")
	errRefused   = errors.New("simulation: connection refused")
	errReset     = errors.New("simulation: connection reset")
)

// Network is a simulated network of hosts, which are identified by their IP addresses. Data
// sent in a blocked direction is held back until it is unblocked. A host that is taken down
// closes its connections.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*listener // by address
	conns      map[*conn]bool
	blocked    map[[2]string]bool       // from, to
	extraDelay map[string]time.Duration // of data from or to a host
	links      map[string]*link         // of hosts whose links have a rate limit
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]bool{}, blocked: map[[2]string]bool{}, extraDelay: map[string]time.Duration{}, links: map[string]*link{}}
}

// Host is the network as a host sees it. It implements transport.Network.
type Host struct {
	network *Network
	ip      string
}

// Host returns the network as a host sees it.
func (n *Network) Host(ip string) *Host { return &Host{n, ip} }

// hostPart returns the host of an address.
func hostPart(addr string) string {
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return ip
}

// Block holds back data from one host to another, in that direction only.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	n.blocked[[2]string{from, to}] = true
	n.mu.Unlock()
}

// Unblock ends Block. Data that was held back is delivered.
func (n *Network) Unblock(from, to string) {
	n.mu.Lock()
	delete(n.blocked, [2]string{from, to})
	var waiting []*conn
	for c := range n.conns {
		waiting = append(waiting, c)
	}
	n.mu.Unlock()
	for _, c := range waiting {
		c.wakeReader()
	}
}

func (n *Network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[[2]string{from, to}]
}

// SetDelay sets a delay for all data from or to a host, in addition to networkDelay.
func (n *Network) SetDelay(ip string, delay time.Duration) {
	n.mu.Lock()
	n.extraDelay[ip] = delay
	n.mu.Unlock()
}

// ResetConnections closes all connections of a host. Its ports stay open.
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

// TakeDown closes all connections and ports of a host.
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

// listener is an open port.
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

func (l *listener) Addr() net.Addr { return simAddr(l.addr) }

// simAddr is the net.Addr of a simulated port.
type simAddr string

func (a simAddr) Network() string { return "sim" }
func (a simAddr) String() string  { return string(a) }

// Listen opens a port of the host.
func (h *Host) Listen(_ context.Context, addr string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[addr] != nil {
		return nil, fmt.Errorf("%w: %s", errPortInUse, addr)
	}
	l := &listener{network: h.network, addr: addr, incoming: make(chan net.Conn, backlog), done: make(chan struct{})}
	h.network.listeners[addr] = l
	return l, nil
}

// Dial connects to an address. If either direction is blocked it hangs for dialTimeout, as a
// real dial would.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to := hostPart(addr)
	if h.network.isBlocked(h.ip, to) || h.network.isBlocked(to, h.ip) {
		timer := time.NewTimer(dialTimeout)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return nil, os.ErrDeadlineExceeded
	}
	h.network.mu.Lock()
	l := h.network.listeners[addr]
	h.network.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("%w: %s", errRefused, addr)
	}
	local, remote := newConnPair(h.network, h.ip, to)
	select {
	case l.incoming <- remote:
		return local, nil
	case <-l.done:
	case <-ctx.Done():
	}
	return nil, fmt.Errorf("%w: %s", errRefused, addr)
}

// DialContext is Dial with the signature that http.Transport needs.
func (h *Host) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	return h.Dial(ctx, addr)
}
