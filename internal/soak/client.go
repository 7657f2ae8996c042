package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"tealpond/internal/daemon"
	"tealpond/internal/protocol"
	"tealpond/internal/standin"
)

// Times of clients.
const (
	// requestTime is how long a client waits for the answer to an ordinary request.
	requestTime = 4 * time.Second
	// longRequestTime is that of a client whose requests take long.
	longRequestTime = 9 * time.Second
	// dialTime is how long a connection may take to open.
	dialTime = time.Second
	// reconnectPause is the pause after a connection that could not be opened.
	reconnectPause = 50 * time.Millisecond
	// slowReceiveBytes is the receive buffer of a client that reads slowly.
	slowReceiveBytes = 4 << 10
)

// client is one client that sends by a habit until the load ends.
type client struct {
	habit   habit
	random  *rand.Rand
	ledger  *Ledger
	targets func() []target
	newID   func() string
}

// target is a daemon as clients see it.
type target struct{ daemon, address, control string }

// connection is one connection of a client.
type connection struct {
	*client
	target target
	conn   net.Conn
	reader *bufio.Reader
}

// order is a request to be sent.
type order struct {
	method, path, query, kind string
	body                      string
	parts                     int           // the body goes in so many parts in chunks; 0: whole, with its length
	wait                      time.Duration // the time that the client gives it
	slow                      time.Duration // pause between two reads of its answer
	stall                     time.Duration // one longer pause after the first read
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		targets := c.targets()
		chosen := targets[c.random.IntN(len(targets))]
		dialer := net.Dialer{Timeout: dialTime}
		if c.habit.slow {
			dialer.Control = smallReceiveBuffer
		}
		address := chosen.address
		if c.habit.control {
			address = chosen.control
		}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			daemon.Pause(ctx, reconnectPause)
			continue
		}
		connection := &connection{client: c, target: chosen, conn: conn, reader: bufio.NewReader(conn)}
		for ctx.Err() == nil && connection.exchange(c.habit.next(c.random)) && !c.habit.fresh {
			daemon.Pause(ctx, time.Duration(c.random.Int64N(int64(c.habit.pause)+1)))
		}
		_ = conn.Close()
	}
}

// smallReceiveBuffer makes the kernel hold little of what a client hasn't read.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBytes)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// exchange sends requests behind each other and reads their answers; false once the
// connection can't be used any more.
func (c *connection) exchange(orders []order) bool {
	requests := make([]Request, len(orders))
	sent := true
	for i, o := range orders {
		requests[i] = Request{ID: c.newID(), Daemon: c.target.daemon, Kind: o.kind, Habit: c.habit.name, Query: o.query, Behind: i > 0, Deadline: time.Now().Add(o.wait)}
		if !sent {
			c.end(&requests[i], EndUnsent, errUnusable)
			continue
		}
		sent = c.send(o, &requests[i])
	}
	usable := true
	for i, o := range orders {
		request := &requests[i]
		switch {
		case request.Ending == EndUnsent:
			usable = false
		case !usable:
			c.end(request, EndClosed, errUnusable)
		default:
			usable = c.receive(o, request)
		}
		c.ledger.AddRequest(*request)
	}
	return usable
}

// send sends a request; false if the connection broke.
func (c *connection) send(o order, request *Request) bool {
	head := fmt.Sprintf("%s %s%s?%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", o.method, o.path, request.ID, o.query, routeHost,
		protocol.HeaderAttemptID, request.ID, protocol.HeaderTimeLeft, o.wait.Milliseconds())
	_ = c.conn.SetWriteDeadline(request.Deadline)
	var err error
	if o.parts == 0 {
		_, err = fmt.Fprintf(c.conn, "%sContent-Length: %d\r\n\r\n%s", head, len(o.body), o.body)
	} else {
		err = c.sendParts(head, o)
	}
	if err != nil {
		request.Ending, request.EndedAt, request.Error = EndUnsent, time.Now(), err.Error()
		return false
	}
	request.SentAt = time.Now()
	return true
}

// sendParts sends a request whose body goes in chunks, with a pause after each.
func (c *connection) sendParts(head string, o order) error {
	if _, err := fmt.Fprintf(c.conn, "%sTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return err
	}
	size := len(o.body) / o.parts
	for part := range o.parts {
		if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", size, o.body[part*size:(part+1)*size]); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(partPause))))
	}
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	return err
}

// receive reads an answer; false if the connection can't be used any more.
func (c *connection) receive(o order, request *Request) bool {
	_ = c.conn.SetReadDeadline(request.Deadline.Add(requestTime))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.fail(request, err)
		return false
	}
	text := strings.Builder{}
	if _, err := io.Copy(&text, &slowReader{response.Body, o.slow, o.stall}); err != nil {
		c.fail(request, err)
		return false
	}
	bodyBytes := len(o.body)
	if o.parts > 0 {
		bodyBytes = len(o.body) / o.parts * o.parts
	}
	want := standin.Answer(request.ID, o.path+request.ID, bodyBytes)
	request.Sealed = o.kind == kindCall || o.kind == kindJob || response.Header.Get(protocol.HeaderAttemptID) == request.ID && strings.TrimRight(text.String(), " ") == want
	request.Status, request.Ending, request.EndedAt = response.StatusCode, EndAnswered, time.Now()
	return !response.Close
}

// errUnusable is the error of a request whose connection ended with an answer before it.
var errUnusable = errors.New("the connection ended with an answer before")

// fail records how a connection broke before an answer was whole.
func (c *connection) fail(request *Request, err error) {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		c.end(request, EndGaveUp, err)
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		c.end(request, EndReset, err)
	default:
		c.end(request, EndClosed, err)
	}
}

// end records how a request ended without an answer.
func (c *connection) end(request *Request, ending Ending, err error) {
	request.Ending, request.EndedAt, request.Error = ending, time.Now(), err.Error()
}

// slowReader reads little at a time, with a pause in between.
type slowReader struct {
	source io.Reader
	pause  time.Duration // 0: it reads as fast as it can
	stall  time.Duration // one more pause, before the next read; 0: none
}

// slowReadBytes is how much a slow reader reads at once.
const slowReadBytes = 16 << 10

// Read implements io.Reader.
func (r *slowReader) Read(into []byte) (int, error) {
	if r.pause > 0 {
		into = into[:min(len(into), slowReadBytes)]
	}
	time.Sleep(r.pause)
	n, err := r.source.Read(into)
	time.Sleep(r.stall)
	r.stall = 0
	return n, err
}
