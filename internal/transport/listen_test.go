package transport

import (
	"context"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// The incident, one more cause: clients that left a large answer unread for two seconds had
// their connections reset. No signal was sent, the daemon ran on, and its log showed nothing.
// TCP_USER_TIMEOUT, with which daemons notice a lost peer, was set on the ports for clients
// too: the kernel counts a receiver's full window like bytes that are not acknowledged. What
// proved it: with the library's Multipath TCP, on whose ports the option can't be set, no
// answer was lost, and without it, as on kernels that don't have it, every one of them.

// TestListenersTimeOutDaemonsOnly: a client may be slow to read; a daemon that acknowledges
// nothing is gone, whatever kinds of TCP the kernel has.
func TestListenersTimeOutDaemonsOnly(t *testing.T) {
	// 0: never; 2: on ports, the library's default.
	for _, multipath := range []string{"multipathtcp=0", "multipathtcp=2"} {
		t.Setenv("GODEBUG", multipath)
		clients, err := Listen(t.Context(), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if timeout := acceptedUserTimeout(t, clients); timeout != 0 {
			t.Errorf("%s: clients are timed out after %d ms", multipath, timeout)
		}
		daemons, err := networkOf(t.Context()).Listen(t.Context(), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if timeout := acceptedUserTimeout(t, daemons); timeout != int(TCPUserTimeout.Milliseconds()) {
			t.Errorf("%s: daemons are timed out after %d ms", multipath, timeout)
		}
	}
}

// acceptedUserTimeout returns the option of a connection that a listener accepts, in ms.
func acceptedUserTimeout(t *testing.T, listener net.Listener) int {
	t.Helper()
	defer func() { _ = listener.Close() }()
	dialed, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	control, err := accepted.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	timeout := 0
	if err := control.Control(func(fd uintptr) {
		timeout, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	return timeout
}
