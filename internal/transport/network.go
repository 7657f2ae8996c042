package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout is how long opening a connection may take.
	DialTimeout = 500 * time.Millisecond
	// TCPUserTimeout is the socket option TCP_USER_TIMEOUT of each connection: how long sent bytes may
	// stay unacknowledged.
	TCPUserTimeout = 1500 * time.Millisecond
)

// Network opens connections and ports between daemons. They use TCP; tests put a network
// of their own, with partitions and delays, into the context.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(ctx context.Context, addr string) (net.Listener, error)
}

type networkKey struct{}

// WithNetwork returns a context in which Dial, Serve and Listen use a network.
func WithNetwork(ctx context.Context, network Network) context.Context {
	return context.WithValue(ctx, networkKey{}, network)
}

func networkOf(ctx context.Context) Network {
	if network, ok := ctx.Value(networkKey{}).(Network); ok {
		return network
	}
	return tcpNetwork{}
}

// Listen opens a port for clients, operators and runners on the context's network. Errors
// are of class Error.
//
// They may be slow to read: no option of the socket may end a connection on which they leave
// an answer unread for a while, as TCP_USER_TIMEOUT does. Who answers bounds the time.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	var listener net.Listener
	var err error
	if network, ok := ctx.Value(networkKey{}).(Network); ok {
		listener, err = network.Listen(ctx, addr)
	} else {
		listener, err = (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
	}
	return listener, Error.Wrap(err)
}

// DialWith opens a connection with a caller's own dialer, or on the network that a test
// has put into the context.
func DialWith(ctx context.Context, dialer *net.Dialer, addr string) (net.Conn, error) {
	if network, ok := ctx.Value(networkKey{}).(Network); ok {
		return network.Dial(ctx, addr)
	}
	return dialer.DialContext(ctx, "tcp", addr)
}

// tcpNetwork is the network of real machines.
type tcpNetwork struct{}

// Dial opens a TCP connection that notices a lost peer.
func (tcpNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, Control: UserTimeoutControl(TCPUserTimeout), KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Listen opens a TCP port whose connections notice a lost peer.
func (tcpNetwork) Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: UserTimeoutControl(TCPUserTimeout), KeepAlive: -1}
	config.SetMultipathTCP(false) // its ports refuse the option
	return config.Listen(ctx, "tcp", addr)
}

// UserTimeoutControl returns a Control function for net.Dialer and net.ListenConfig
// that ends a connection whose data is not acknowledged within a limit (rounded down
// to ms), by the option TCP_USER_TIMEOUT. A socket that refuses the option is used
// without it.
func UserTimeoutControl(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit/time.Millisecond))
		})
	}
}
