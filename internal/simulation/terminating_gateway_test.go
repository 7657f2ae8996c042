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

// Gateways that receive SIGTERM must not lose responses to requests that have reached runners.
// Three faults of this kind occurred with real processes (package soak). The tests in this file
// guard against two of them.
//
// Pipelined reads are forwarded at once. The HTTP library did not track the ones that waited for
// their turn, and closed the connection after the first response once shutdown had begun. Every
// lost read was a later one on its connection, and the daemon counted as many abandoned requests
// as were lost.
//
// A request with a long run was aborted after half of the grace period, since the wait for open
// requests got only that half: the daemon logged open requests 3.0 s after the signal, with a
// grace period of 6 s.

// longRoute is a route whose requests may take longer than the grace period of a
// daemon.
const longRoute = `,{"name":"l","hostName":"h","pathPrefix":"/long/","kind":"writing","timeoutMs":9000,"targetMs":500,"targetService":"svc","maxTries":3}`

// rawClient is a client connection on which a test writes raw HTTP requests.
type rawClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialRaw opens a connection to the client port of a daemon.
func (c *Cluster) dialRaw(node string) *rawClient {
	c.T.Helper()
	conn, err := c.Network.Host(c.hostIP(clientHost)).Dial(context.Background(), c.nodeAddress(node, clientPort))
	if err != nil {
		c.T.Fatal(err)
	}
	return &rawClient{conn, bufio.NewReader(conn)}
}

// rawRequest returns the text of a request. Its path is also the ID of its attempt.
func rawRequest(method, path string, workMs int) string {
	return fmt.Sprintf("%s %s?work=%d HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 9000\r\nContent-Length: 0\r\n\r\n",
		method, path, workMs, protocol.HeaderAttemptID, path, protocol.HeaderTimeLeft)
}

// send writes requests back to back.
func (r *rawClient) send(requests ...string) error {
	_, err := io.WriteString(r.conn, strings.Join(requests, ""))
	return err
}

// receive reads a response and returns an error unless it is the successful response
// for the path.
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
		return fmt.Errorf("unexpected response: %d %q", response.StatusCode, text)
	}
	return nil
}

// TestTerminatingGatewayAnswersForwardedRequests: a daemon that is terminated delivers
// every response that a runner completes within five sixths of the grace period, on
// each kind of daemon.
func TestTerminatingGatewayAnswersForwardedRequests(t *testing.T) {
	for _, kind := range []struct {
		name       string
		selectNode func(c *Cluster) string
	}{
		{"diskless daemon", func(*Cluster) string { return "edge-6" }},
		{"follower", func(c *Cluster) string { return without(c.Servers(), c.Leader())[0] }},
		{"leader", func(c *Cluster) string { return c.Leader() }},
	} {
		for name, run := range map[string]func(c *Cluster, node string){
			"pipelined reads":       runPipelinedReads,
			"reads during shutdown": runReadsDuringShutdown,
			"long requests":         runLongRequests,
		} {
			t.Run(kind.name+"/"+name, func(t *testing.T) {
				runGatewayTest(t, func(c *Cluster, _ *gatewayLoad) {
					c.putGatewayConfiguration(2, 1, longRoute)
					time.Sleep(time.Second) // until all daemons apply the configuration
					run(c, kind.selectNode(c))
				})
			})
		}
	}
}

// terminateWhile terminates a daemon while a function runs, waits for both, and starts
// the daemon again.
func (c *Cluster) terminateWhile(node string, meanwhile func()) {
	var ended sync.WaitGroup
	ended.Go(func() { c.Terminate(node) })
	meanwhile()
	ended.Wait()
	c.Start(node)
}

// runPipelinedReads terminates a daemon while five reads of one connection are at
// runners. The later reads complete before the first.
func runPipelinedReads(c *Cluster, node string) {
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
	c.terminateWhile(node, func() {
		for _, path := range paths {
			if err := client.receive(path); err != nil {
				c.T.Errorf("%s ran %d times, but: %v", path, c.platform.RunCount(path), err)
			}
		}
	})
}

// runReadsDuringShutdown pipelines more reads after the daemon got the signal to terminate.
// Reads that reach a runner are answered; the others may be left unread.
func runReadsDuringShutdown(c *Cluster, node string) {
	client := c.dialRaw(node)
	if err := client.send(rawRequest(http.MethodGet, "/read/0", 300)); err != nil {
		c.T.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	c.terminateWhile(node, func() {
		paths := []string{"/read/0"}
		for i := 1; i < 8; i++ {
			time.Sleep(40 * time.Millisecond)
			path := fmt.Sprint("/read/", i)
			if client.send(rawRequest(http.MethodGet, path, 100)) == nil {
				paths = append(paths, path)
			}
		}
		for _, path := range paths {
			if err := client.receive(path); err != nil && c.platform.RunCount(path) > 0 {
				c.T.Errorf("%s ran, but: %v", path, err)
			}
		}
	})
}

// runLongRequests terminates a daemon while runners process requests for up to five
// sixths of the grace period.
func runLongRequests(c *Cluster, node string) {
	clients := map[string]*rawClient{}
	for _, workMs := range []int{2000, 3200, 4000, 4900} {
		path := fmt.Sprint("/long/", workMs)
		clients[path] = c.dialRaw(node)
		if err := clients[path].send(rawRequest(http.MethodPost, path, workMs)); err != nil {
			c.T.Fatal(err)
		}
	}
	time.Sleep(10 * time.Millisecond)
	c.terminateWhile(node, func() {
		for path, client := range clients {
			if err := client.receive(path); err != nil {
				c.T.Errorf("%s: %v", path, err)
			}
		}
	})
}

// TestSecondShutdownWaitsForFirstToAnswer: one of three servers is terminated while a
// runner processes a request of its client for most of the grace period. Another server
// that is terminated three seconds later stops only once the first is running again.
func TestSecondShutdownWaitsForFirstToAnswer(t *testing.T) {
	runGatewayTest(t, func(c *Cluster, _ *gatewayLoad) {
		c.putGatewayConfiguration(2, 1, longRoute)
		time.Sleep(time.Second) // until all daemons apply the configuration
		followers := without(c.Servers(), c.Leader())
		client := c.dialRaw(followers[0])
		if err := client.send(rawRequest(http.MethodPost, "/long/first", 4500)); err != nil {
			c.T.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		var first, second outage
		var both sync.WaitGroup
		both.Go(func() { first = c.terminateAndRestart(300*time.Millisecond, followers[0]) })
		time.Sleep(3 * time.Second)
		both.Go(func() { second = c.terminateAndRestart(300*time.Millisecond, followers[1]) })
		if err := client.receive("/long/first"); err != nil {
			c.T.Error(err)
		}
		both.Wait()
		if second.stoppedAt.Before(first.startedAt) {
			c.T.Errorf("second server stopped at %v, first server restarted only at %v", second.stoppedAt, first.startedAt)
		}
	})
}
