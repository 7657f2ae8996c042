package transport

import (
	"context"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// TestListenersTimeOutDaemonsOnly checks that TCP_USER_TIMEOUT is set on listeners for daemons only, with and
// without Multipath TCP.
//
// It guards against a failure in which clients that left a large response unread for two seconds had
// their connections reset, while the daemon kept running and logged nothing. TCP_USER_TIMEOUT, with which
// daemons detect a lost peer, was set on the listeners for clients too, and the kernel treats a receiver's
// full window like unacknowledged data. With Multipath TCP, Go's default for listeners, the option cannot be set
// and no response was lost. Without it, as on kernels that lack it, every one was lost.
func TestListenersTimeOutDaemonsOnly(t *testing.T) {
	// 0: never; 2: for listeners only, the default of package net.
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

// acceptedUserTimeout returns TCP_USER_TIMEOUT of a connection that a listener accepts, in ms.
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
