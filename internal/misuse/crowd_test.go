package misuse

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// sendTimeout is how long a client of a crowd tries to send; after that it only stays connected.
	sendTimeout = 20 * time.Second
	// completeEvery is the number of clients of a crowd of which one finishes its body.
	completeEvery = 8
	// piecePause is the pause between two pieces of a body that is sent piece by piece.
	piecePause = 10 * time.Millisecond
)

// client is what one client of a crowd sends.
type client struct {
	head       string
	body       []byte // encoded for the wire
	pieceBytes int    // sent at once; 0: all
	pause      time.Duration
	complete   bool // the body is sent to its end
	readsNone  bool // with a small receive buffer, since it never reads the answer
}

// crowd is a number of connections that stay open.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// openCrowd lets count clients send to an address at once, and returns once each has sent what it
// wants to send, was cut off, or has tried for sendTimeout.
func openCrowd(t *testing.T, address string, count int, of func(number int) client) {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.close)
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() { c.run(address, of(i)) })
	}
	clients.Wait()
}

// run sends the request of one client. Errors are expected: a daemon may refuse or cut off the client.
func (c *crowd) run(address string, from client) {
	dialer := &net.Dialer{Timeout: sendTimeout}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if from.readsNone {
		_ = conn.(*net.TCPConn).SetReadBuffer(1)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := conn.Write([]byte(from.head)); err != nil {
		return
	}
	body := from.body
	if !from.complete && len(body) > 0 {
		body = body[:len(body)-1]
	}
	piece := from.pieceBytes
	if piece == 0 {
		piece = max(len(body), 1)
	}
	for len(body) > 0 {
		n, err := conn.Write(body[:min(piece, len(body))])
		if err != nil {
			return
		}
		body = body[n:]
		time.Sleep(from.pause)
	}
}

// close closes the connections of the crowd.
func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// bodyForm is a way to send a body.
type bodyForm struct {
	name       string
	chunkBytes int // 0: not chunked
	pieceBytes int
	pause      time.Duration
}

// bodyForms are the ways in which crowds send bodies.
var bodyForms = []bodyForm{
	{name: "whole"},
	{name: "in pieces", pieceBytes: 16 << 10, pause: piecePause},
	{name: "large chunks", chunkBytes: 64 << 10},
	{name: "small chunks", chunkBytes: 32, pieceBytes: 32 << 10},
}

// requestOf returns the client with the given number that sends a body in a form.
func (f bodyForm) requestOf(number int, path, body string) client {
	length := fmt.Sprintf("Content-Length: %d", len(body))
	encoded := []byte(body)
	if f.chunkBytes > 0 {
		length, encoded = "Transfer-Encoding: chunked", chunked(body, f.chunkBytes)
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Tealpond-Attempt-Id: crowd-%d\r\nX-Tealpond-Time-Left: 60000\r\n"+
		"X-Tealpond-Based-On: 1\r\nContent-Type: application/json\r\n%s\r\n\r\n", path, routeHost, number, length)
	return client{head: head, body: encoded, pieceBytes: f.pieceBytes, pause: f.pause, complete: number%completeEvery == 0}
}

// chunked returns a body in chunks of the given size.
func chunked(body string, size int) []byte {
	var encoded bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	encoded.WriteString("0\r\n\r\n")
	return encoded.Bytes()
}

// headOfManyFields returns the fields of a head that has close to maxBytes, in as many fields as fit.
func headOfManyFields(maxBytes int) string {
	var head strings.Builder
	for i := 0; head.Len() < maxBytes; i++ {
		fmt.Fprintf(&head, "x%x:\r\n", i)
	}
	return head.String()
}
