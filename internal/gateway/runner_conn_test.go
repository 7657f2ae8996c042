package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/registry"
)

// repeatingRunner rejects some requests and runs the others. It may send a second copy of a response in
// the place of the next one on the connection.
type repeatingRunner struct {
	id     string
	random func() *rand.Rand // of the next connection
	runs   *attemptRuns
}

// attemptRuns counts the runs of each attempt ID.
type attemptRuns struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *attemptRuns) add(attemptID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[attemptID]++
}

func (r *attemptRuns) of(attemptID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[attemptID]
}

// listen serves connections until the test ends, and returns the runner's list entry.
func (r *repeatingRunner) listen(t *testing.T) registry.Runner {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn, r.random())
		}
	}()
	return registry.Runner{ID: r.id, Service: "s", Zone: "z", Slots: 8, Address: listener.Addr().String()}
}

// serve responds to the requests of a connection. The responses of the runner stay one behind after it
// sent a second copy.
func (r *repeatingRunner) serve(conn net.Conn, random *rand.Rand) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	copyOfLast := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		response := r.respond(request.Header.Get(protocol.HeaderAttemptID), random)
		if _, err := io.WriteString(conn, copyOfLast+response); err != nil {
			return
		}
		copyOfLast = ""
		if random.IntN(3) == 0 {
			copyOfLast = response
		}
	}
}

// respond runs a request or rejects it, with or without its ID, and returns the response.
func (r *repeatingRunner) respond(attemptID string, random *rand.Rand) string {
	idHeader := protocol.HeaderAttemptID + ": " + attemptID + "\r\n"
	rejectionID := []string{idHeader, ""}[random.IntN(2)]
	switch random.IntN(8) {
	case 0, 1:
		return "HTTP/1.1 503 Service Unavailable\r\n" + rejectionID + protocol.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	case 2:
		return "HTTP/1.1 421 Misdirected Request\r\n" + rejectionID + "Content-Length: 4\r\n\r\nwho?"
	case 3:
		return "HTTP/1.1 429 Too Many Requests\r\n" + rejectionID + protocol.HeaderNotRun + ": 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	case 4:
		r.runs.add(attemptID)
		return "HTTP/1.1 204 No Content\r\n" + idHeader + "\r\n"
	}
	r.runs.add(attemptID)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", idHeader, len(attemptID), attemptID)
}

// TestCopyOfARejectionCountsForNoOtherRequest guards against a runner's second copy of a rejection, in the
// place of the next response, that was taken for the rejection of the next request, although that one
// ran: a write ran on two runners, or ran although its client was told that it never will.
func TestCopyOfARejectionCountsForNoOtherRequest(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			h, runs := newRepeatingHarness(t, seed)
			var clients sync.WaitGroup
			for client := range 4 {
				clients.Go(func() {
					for i := range 60 {
						path := []string{"/write/", "/upload/", "/read/"}[i%3]
						attemptID := fmt.Sprintf("%d-%d", client, i)
						code, body, _ := h.call(http.MethodPost, path+"x", "body", map[string]string{protocol.HeaderAttemptID: attemptID})
						checkRuns(t, path, attemptID, code, body, runs.of(attemptID))
					}
				})
			}
			clients.Wait()
		})
	}
}

// newRepeatingHarness starts a proxy with three repeatingRunners.
func newRepeatingHarness(t *testing.T, seed uint64) (*harness, *attemptRuns) {
	t.Helper()
	runs := &attemptRuns{counts: map[string]int{}}
	var mu sync.Mutex
	seeds := rand.New(rand.NewPCG(seed, 1))
	random := func() *rand.Rand {
		mu.Lock()
		defer mu.Unlock()
		return rand.New(rand.NewPCG(seeds.Uint64(), 2))
	}
	h := newHarness(t)
	var list []registry.Runner
	for i := range 3 {
		list = append(list, (&repeatingRunner{id: fmt.Sprint("i-", i), random: random, runs: runs}).listen(t))
	}
	h.proxy.SetRunners(list, Position{Total: 1})
	return h, runs
}

// checkRuns checks what the client of an attempt was told against how often it ran.
func checkRuns(t *testing.T, path, attemptID string, code int, body string, runs int) {
	t.Helper()
	if path != "/read/" && runs > 1 {
		t.Errorf("%s%s ran %d times", path, attemptID, runs)
	}
	switch code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
		if runs > 0 {
			t.Errorf("%s%s: status %d, but it ran %d times", path, attemptID, code, runs)
		}
	case http.StatusOK:
		if body != attemptID {
			t.Errorf("%s%s: response of %q", path, attemptID, body)
		}
	}
}

// TestRejectionWithoutIDIsBelieved checks that a rejection without an attempt ID lets a write go to another
// runner, as runners that reject requests send none.
func TestRejectionWithoutIDIsBelieved(t *testing.T) {
	h := newHarness(t, rejecting, succeeding)
	for i := range 8 {
		if code, _, _ := h.call(http.MethodPost, "/write/x", strings.Repeat("b", i), nil); code != http.StatusOK {
			t.Errorf("request %d: status %d, want 200", i, code)
		}
	}
}

// TestForeignResponseClosesItsConnection checks that no further request is sent on a connection with a
// response to another request, also if that had no body.
func TestForeignResponseClosesItsConnection(t *testing.T) {
	var mu sync.Mutex
	remote := map[string]string{} // address of the connection, by path
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remote[r.URL.Path] = r.RemoteAddr
		mu.Unlock()
		if r.URL.Path != "/write/foreign" {
			succeeding(w, r)
			return
		}
		w.Header().Set(protocol.HeaderAttemptID, "of-another")
		w.Header().Set(protocol.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	if code, _, _ := h.call(http.MethodPost, "/write/foreign", "", nil); code != http.StatusBadGateway {
		t.Errorf("status %d after a foreign response, want 502", code)
	}
	h.call(http.MethodPost, "/write/after", "", nil)
	mu.Lock()
	defer mu.Unlock()
	if remote["/write/after"] == remote["/write/foreign"] {
		t.Error("a request was sent on a connection after a foreign response")
	}
}
