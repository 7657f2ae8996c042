package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout is the timeout for opening a connection.
	DialTimeout = 500 * time.Millisecond
	// TCPUserTimeout is the socket option TCP_USER_TIMEOUT of each connection between daemons: how long sent
	// data may remain unacknowledged.
	TCPUserTimeout = 1500 * time.Millisecond
)

// Network opens connections and listeners between daemons. Production uses TCP. Tests put a simulated
// network, with partitions and delays, into the context.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(ctx context.Context, addr string) (net.Listener, error)
}

type networkKey struct{}

// WithNetwork returns a context with which Dial, DialWith, Serve and Listen use the given network.
func WithNetwork(ctx context.Context, network Network) context.Context {
	return context.WithValue(ctx, networkKey{}, network)
}

func networkOf(ctx context.Context) Network {
	if network, ok := ctx.Value(networkKey{}).(Network); ok {
		return network
	}
	return tcpNetwork{}
}

// Listen opens a listener for clients, operators and runners on the network of the context. Errors
// are of class Error.
//
// These peers may read slowly. No socket option may close a connection on which they leave
// a response unread for a while, as TCP_USER_TIMEOUT would. The responding server limits the time instead.
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

// DialWith opens a connection with the given dialer, or on the network that a test
// has put into the context.
func DialWith(ctx context.Context, dialer *net.Dialer, addr string) (net.Conn, error) {
	if network, ok := ctx.Value(networkKey{}).(Network); ok {
		return network.Dial(ctx, addr)
	}
	return dialer.DialContext(ctx, "tcp", addr)
}

// tcpNetwork is the Network that uses TCP.
type tcpNetwork struct{}

// Dial opens a TCP connection that detects a lost peer by TCPUserTimeout.
func (tcpNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, Control: UserTimeoutControl(TCPUserTimeout), KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Listen opens a TCP listener whose connections detect a lost peer by TCPUserTimeout.
func (tcpNetwork) Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: UserTimeoutControl(TCPUserTimeout), KeepAlive: -1}
	config.SetMultipathTCP(false) // Multipath TCP listeners do not support the option
	return config.Listen(ctx, "tcp", addr)
}

// UserTimeoutControl returns a Control function for net.Dialer and net.ListenConfig
// that sets TCP_USER_TIMEOUT, so that a connection is closed if its data is not acknowledged within the
// limit (rounded down to ms). A socket that does not support the option is used
// without it.
func UserTimeoutControl(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit/time.Millisecond))
		})
	}
}
