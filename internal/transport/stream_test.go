package transport

import (
	"context"
	"net"
	"testing"
)

// pipeNetwork is an in-memory Network with a single address.
type pipeNetwork chan net.Conn

func (n pipeNetwork) Dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	n <- server
	return client, nil
}

func (n pipeNetwork) Listen(ctx context.Context, _ string) (net.Listener, error) {
	return pipeListener{conns: n, closed: make(chan struct{})}, nil
}

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error { close(l.closed); return nil }

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connect opens a stream and returns both ends and the events of each.
func connect(t *testing.T) (client, server *Stream, atClient, atServer chan Event) {
	t.Helper()
	ctx := WithNetwork(t.Context(), make(pipeNetwork, 1))
	atClient, atServer = make(chan Event, 10), make(chan Event, 10)
	if err := Serve(ctx, "server", func(event Event) { atServer <- event }); err != nil {
		t.Fatal(err)
	}
	client, err := Dial(ctx, "server", func(event Event) { atClient <- event })
	if err != nil {
		t.Fatal(err)
	}
	if !client.Send(Frame{Kind: 1, ID: 2, Body: Encode("hello")}) {
		t.Fatal("the first frame was rejected")
	}
	first := <-atServer
	var body string
	if first.Closed || first.Frame.Kind != 1 || first.Frame.ID != 2 || Decode(first.Frame.Body, &body) != nil || body != "hello" {
		t.Fatalf("received %+v", first)
	}
	return client, first.Stream, atClient, atServer
}

func TestFramesPassInBothDirections(t *testing.T) {
	client, server, atClient, _ := connect(t)
	if client.Addr != "server" || server.Addr != "" {
		t.Errorf("addresses %q and %q", client.Addr, server.Addr)
	}
	server.Send(Frame{Kind: 3, ID: 2})
	if event := <-atClient; event.Closed || event.Frame.Kind != 3 || event.Stream != client {
		t.Errorf("received %+v", event)
	}
}

func TestCloseIsReportedAtBothEnds(t *testing.T) {
	client, server, atClient, atServer := connect(t)
	client.Close()
	client.Close()
	for name, events := range map[string]chan Event{"client": atClient, "server": atServer} {
		if event := <-events; !event.Closed {
			t.Errorf("%s received %+v", name, event)
		}
	}
	<-server.Done()
	if !client.Closed() || !server.Closed() || client.Send(Frame{}) || server.Send(Frame{}) {
		t.Error("a closed stream accepts frames")
	}
}

// TestFullQueueClosesStream checks that a stream whose peer does not read is closed when a frame is dropped, so
// that no later frame is sent.
func TestFullQueueClosesStream(t *testing.T) {
	cancelCount := 0
	stream := newStream("", func() { cancelCount++ })
	for i := range streamQueueLength {
		if !stream.Send(Frame{ID: uint64(i)}) {
			t.Fatalf("frame %d was rejected", i)
		}
	}
	if stream.Send(Frame{}) || !stream.Closed() || cancelCount != 1 {
		t.Errorf("closed %v, canceled %d times", stream.Closed(), cancelCount)
	}
}
