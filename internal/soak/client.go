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

// Limits and pauses of clients.
const (
	// requestTimeout is how long a client waits for the answer to an ordinary request.
	requestTimeout = 4 * time.Second
	// longRequestTimeout is how long a client waits for the answer to a request that takes long.
	longRequestTimeout = 9 * time.Second
	// dialTimeout is the time limit for opening a connection.
	dialTimeout = time.Second
	// reconnectPause is the pause after a failed attempt to open a connection.
	reconnectPause = 50 * time.Millisecond
	// slowReceiveBytes is the receive buffer of a client that reads slowly.
	slowReceiveBytes = 4 << 10
)

// client sends requests as its profile describes until the load ends.
type client struct {
	profile  profile
	random   *rand.Rand
	recorder *Recorder
	targets  func() []target
	newID    func() string
}

// target is a daemon with its addresses for clients and for operators.
type target struct{ daemon, address, control string }

// connection is one connection of a client.
type connection struct {
	*client
	target target
	conn   net.Conn
	reader *bufio.Reader
}

// requestSpec describes a request to be sent.
type requestSpec struct {
	method, path, query, kind string
	body                      string
	chunks                    int           // number of chunks of a chunked body; 0: not chunked, with Content-Length
	timeout                   time.Duration // how long the client waits for the answer
	readPause                 time.Duration // pause before each read of the answer
	stall                     time.Duration // additional pause after the first read
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		targets := c.targets()
		chosen := targets[c.random.IntN(len(targets))]
		dialer := net.Dialer{Timeout: dialTimeout}
		if c.profile.smallBuffer {
			dialer.Control = smallReceiveBuffer
		}
		address := chosen.address
		if c.profile.control {
			address = chosen.control
		}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			daemon.Pause(ctx, reconnectPause)
			continue
		}
		connection := &connection{client: c, target: chosen, conn: conn, reader: bufio.NewReader(conn)}
		for ctx.Err() == nil && connection.exchange(c.profile.next(c.random)) && !c.profile.reconnects {
			daemon.Pause(ctx, time.Duration(c.random.Int64N(int64(c.profile.pause)+1)))
		}
		_ = conn.Close()
	}
}

// smallReceiveBuffer limits the kernel's receive buffer, so that the kernel holds little data that the
// client has not read.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBytes)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// exchange sends pipelined requests and reads their answers. It returns false once the connection is
// no longer usable.
func (c *connection) exchange(specs []requestSpec) bool {
	requests := make([]Request, len(specs))
	sent := true
	for i, o := range specs {
		requests[i] = Request{ID: c.newID(), Daemon: c.target.daemon, Kind: o.kind, Profile: c.profile.name, Query: o.query, Pipelined: i > 0, Deadline: time.Now().Add(o.timeout)}
		if !sent {
			c.recordFailure(&requests[i], OutcomeUnsent, errUnusable)
			continue
		}
		sent = c.send(o, &requests[i])
	}
	usable := true
	for i, o := range specs {
		request := &requests[i]
		switch {
		case request.Outcome == OutcomeUnsent:
			usable = false
		case !usable:
			c.recordFailure(request, OutcomeClosed, errUnusable)
		default:
			usable = c.receive(o, request)
		}
		c.recorder.AddRequest(*request)
	}
	return usable
}

// send sends a request. It returns false if the connection failed.
func (c *connection) send(o requestSpec, request *Request) bool {
	head := fmt.Sprintf("%s %s%s?%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", o.method, o.path, request.ID, o.query, routeHost,
		protocol.HeaderAttemptID, request.ID, protocol.HeaderTimeLeft, o.timeout.Milliseconds())
	_ = c.conn.SetWriteDeadline(request.Deadline)
	var err error
	if o.chunks == 0 {
		_, err = fmt.Fprintf(c.conn, "%sContent-Length: %d\r\n\r\n%s", head, len(o.body), o.body)
	} else {
		err = c.sendChunks(head, o)
	}
	if err != nil {
		request.Outcome, request.EndedAt, request.Error = OutcomeUnsent, time.Now(), err.Error()
		return false
	}
	request.SentAt = time.Now()
	return true
}

// sendChunks sends a request with a chunked body, with a pause after each chunk.
func (c *connection) sendChunks(head string, o requestSpec) error {
	if _, err := fmt.Fprintf(c.conn, "%sTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return err
	}
	size := len(o.body) / o.chunks
	for chunk := range o.chunks {
		if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", size, o.body[chunk*size:(chunk+1)*size]); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxChunkPause))))
	}
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	return err
}

// receive reads an answer. It returns false if the connection is no longer usable.
func (c *connection) receive(o requestSpec, request *Request) bool {
	_ = c.conn.SetReadDeadline(request.Deadline.Add(requestTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.recordError(request, err)
		return false
	}
	text := strings.Builder{}
	if _, err := io.Copy(&text, &slowReader{response.Body, o.readPause, o.stall}); err != nil {
		c.recordError(request, err)
		return false
	}
	bodyBytes := len(o.body)
	if o.chunks > 0 {
		bodyBytes = len(o.body) / o.chunks * o.chunks
	}
	want := standin.ExpectedAnswer(request.ID, o.path+request.ID, bodyBytes)
	request.FromRunner = o.kind == kindCall || o.kind == kindJob || response.Header.Get(protocol.HeaderAttemptID) == request.ID && strings.TrimRight(text.String(), " ") == want
	request.Status, request.Outcome, request.EndedAt = response.StatusCode, OutcomeAnswered, time.Now()
	return !response.Close
}

// errUnusable is the error of a pipelined request whose connection ended with an earlier one.
var errUnusable = errors.New("connection ended with an earlier request")

// recordError records the outcome of a request whose connection failed before the answer was complete.
func (c *connection) recordError(request *Request, err error) {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		c.recordFailure(request, OutcomeTimedOut, err)
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		c.recordFailure(request, OutcomeReset, err)
	default:
		c.recordFailure(request, OutcomeClosed, err)
	}
}

// recordFailure records the outcome of a request that was not answered.
func (c *connection) recordFailure(request *Request, outcome Outcome, err error) {
	request.Outcome, request.EndedAt, request.Error = outcome, time.Now(), err.Error()
}

// slowReader delays reads. With a pause it also reads only a little at a time.
type slowReader struct {
	source io.Reader
	pause  time.Duration // before each read; 0: none
	stall  time.Duration // additional pause after the first read; 0: none
}

// slowReadBytes is the most that a slow reader reads at once.
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
