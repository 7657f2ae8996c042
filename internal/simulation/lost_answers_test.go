package simulation

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// The incident: as real processes, gateways that were told to end lost answers to requests
// that had reached runners; no logs were kept. Playing SIGTERM against clients of every
// habit on real processes (package soak) showed three ways, two of which are here.
//
// Reads that a client sends behind each other are passed on at once. The HTTP library knew
// nothing of those that wait for their turn, and closed the connection behind the first
// answer once it had begun to shut down. What proved it: every lost read was a later one of
// its connection, and the daemon counted as many abandoned requests as were lost.
//
// A request at which a runner works for long was cut when half of the grace time was over,
// since the wait for open requests had been given that half only. What proved it: the
// daemon's last line said that requests were open, 3.0 s after the signal of 6 s of grace.

// longRoute is a route whose requests may take longer than the grace time of a daemon.
const longRoute = `,{"name":"l","hostName":"h","pathPrefix":"/long/","kind":"writing","timeoutMs":9000,"targetMs":500,"targetService":"svc","maxTries":3}`

// rawClient is a connection on which a test sends what it likes.
type rawClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialRaw opens a connection to a daemon's port of clients.
func (c *Cluster) dialRaw(node string) *rawClient {
	c.T.Helper()
	conn, err := c.Network.Host(c.hostIP(clientHost)).Dial(context.Background(), c.nodeAddress(node, clientPort))
	if err != nil {
		c.T.Fatal(err)
	}
	return &rawClient{conn, bufio.NewReader(conn)}
}

// rawRequest is the text of a request; its attempt's ID is its path.
func rawRequest(method, path string, workMs int) string {
	return fmt.Sprintf("%s %s?work=%d HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 9000\r\nContent-Length: 0\r\n\r\n",
		method, path, workMs, protocol.HeaderAttemptID, path, protocol.HeaderTimeLeft)
}

// send sends requests behind each other.
func (r *rawClient) send(requests ...string) error {
	_, err := io.WriteString(r.conn, strings.Join(requests, ""))
	return err
}

// receive reads an answer, and tells what is wrong with it; nil: it is that of the path.
func (r *rawClient) receive(path string) error {
	response, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || !strings.HasPrefix(string(text), path+" ") {
		return fmt.Errorf("answered with %d %q", response.StatusCode, text)
	}
	return nil
}

// TestLeavingGatewayAnswersWhatReachedARunner: a daemon that is told to end gives every
// answer that a runner completes within five sixths of the grace time, on each kind of
// daemon.
func TestLeavingGatewayAnswersWhatReachedARunner(t *testing.T) {
	for _, kind := range []struct {
		name   string
		choose func(c *Cluster) string
	}{
		{"daemon without a disk", func(*Cluster) string { return "edge-6" }},
		{"follower", func(c *Cluster) string { return without(c.Servers(), c.Leader())[0] }},
		{"leader", func(c *Cluster) string { return c.Leader() }},
	} {
		for name, play := range map[string]func(c *Cluster, node string){
			"reads behind each other":         playReadsBehindEachOther,
			"reads that come while it leaves": playReadsWhileLeaving,
			"long work":                       playLongWork,
		} {
			t.Run(kind.name+"/"+name, func(t *testing.T) {
				gatewayDay(t, func(c *Cluster, _ *gatewayLoad) {
					c.putGatewayConfiguration(2, 1, longRoute)
					time.Sleep(time.Second) // it is in force at all daemons
					play(c, kind.choose(c))
				})
			})
		}
	}
}

// terminateDuring asks a daemon to end while a function goes on, and waits for both.
func (c *Cluster) terminateDuring(node string, meanwhile func()) {
	var ended sync.WaitGroup
	ended.Go(func() { c.Terminate(node) })
	meanwhile()
	ended.Wait()
	c.Start(node)
}

// playReadsBehindEachOther has a daemon end while five reads of one connection are at
// runners, the later ones done before the first.
func playReadsBehindEachOther(c *Cluster, node string) {
	client := c.dialRaw(node)
	paths := []string{"/read/a", "/read/b", "/read/c", "/read/d", "/read/e"}
	var requests []string
	for i, path := range paths {
		requests = append(requests, rawRequest(http.MethodGet, path, 400-50*i))
	}
	if err := client.send(requests...); err != nil {
		c.T.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	c.terminateDuring(node, func() {
		for _, path := range paths {
			if err := client.receive(path); err != nil {
				c.T.Errorf("%s, which ran %d times: %v", path, c.platform.RunsOf(path), err)
			}
		}
	})
}

// playReadsWhileLeaving sends more reads behind others after the daemon was told to end.
// What reaches a runner is answered; the rest may be left unread.
func playReadsWhileLeaving(c *Cluster, node string) {
	client := c.dialRaw(node)
	if err := client.send(rawRequest(http.MethodGet, "/read/0", 300)); err != nil {
		c.T.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	c.terminateDuring(node, func() {
		paths := []string{"/read/0"}
		for i := 1; i < 8; i++ {
			time.Sleep(40 * time.Millisecond)
			path := fmt.Sprint("/read/", i)
			if client.send(rawRequest(http.MethodGet, path, 100)) == nil {
				paths = append(paths, path)
			}
		}
		for _, path := range paths {
			if err := client.receive(path); err != nil && c.platform.RunsOf(path) > 0 {
				c.T.Errorf("%s ran: %v", path, err)
			}
		}
	})
}

// playLongWork has a daemon end while runners work for up to five sixths of the grace time.
func playLongWork(c *Cluster, node string) {
	clients := map[string]*rawClient{}
	for _, workMs := range []int{2000, 3200, 4000, 4900} {
		path := fmt.Sprint("/long/", workMs)
		clients[path] = c.dialRaw(node)
		if err := clients[path].send(rawRequest(http.MethodPost, path, workMs)); err != nil {
			c.T.Fatal(err)
		}
	}
	time.Sleep(10 * time.Millisecond)
	c.terminateDuring(node, func() {
		for path, client := range clients {
			if err := client.receive(path); err != nil {
				c.T.Errorf("%s: %v", path, err)
			}
		}
	})
}

// TestSecondThatEndsWaitsForOneThatStillAnswers: of three servers one is told to end, and a
// runner works for its clients for most of the grace time. Another that is told three seconds
// later is away only once the first is back.
func TestSecondThatEndsWaitsForOneThatStillAnswers(t *testing.T) {
	gatewayDay(t, func(c *Cluster, _ *gatewayLoad) {
		c.putGatewayConfiguration(2, 1, longRoute)
		time.Sleep(time.Second) // it is in force at all daemons
		followers := without(c.Servers(), c.Leader())
		client := c.dialRaw(followers[0])
		if err := client.send(rawRequest(http.MethodPost, "/long/first", 4500)); err != nil {
			c.T.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		var first, second endedTime
		var both sync.WaitGroup
		both.Go(func() { first = c.terminateFor(300*time.Millisecond, followers[0]) })
		time.Sleep(3 * time.Second)
		both.Go(func() { second = c.terminateFor(300*time.Millisecond, followers[1]) })
		if err := client.receive("/long/first"); err != nil {
			c.T.Error(err)
		}
		both.Wait()
		if second.ended.Before(first.started) {
			c.T.Errorf("the second is away from %v on, the first until %v", second.ended, first.started)
		}
	})
}
