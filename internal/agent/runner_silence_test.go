package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// scriptedRunner is a runner whose answers a test gives; a path without one leaves
// calls unanswered.
type scriptedRunner struct {
	mu        sync.Mutex
	responses map[string]RunnerResponse
	calls     []string // path, and the run's task
}

func (r *scriptedRunner) Call(ctx context.Context, _, path string, body any) RunnerResponse {
	r.mu.Lock()
	task := ""
	switch b := body.(type) {
	case protocol.StartRequest:
		task = b.TaskID
	case protocol.StopRequest:
		task = b.TaskID
	}
	r.calls = append(r.calls, path+" "+task)
	response, ok := r.responses[path]
	r.mu.Unlock()
	if !ok {
		<-ctx.Done()
	}
	return response
}

func (r *scriptedRunner) respond(path string, response RunnerResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses[path] = response
}

func (r *scriptedRunner) silence(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.responses, path)
}

func (r *scriptedRunner) count(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.calls {
		if strings.HasPrefix(m, path) {
			n++
		}
	}
	return n
}

// listRunning is an answer to a look: these tasks run, as run 1.
func listRunning(tasks ...string) RunnerResponse {
	response := RunnerResponse{StatusCode: 200, KeepAlive: protocol.KeepAliveResponse{ClockMs: 5}}
	for _, t := range tasks {
		response.KeepAlive.Running = append(response.KeepAlive.Running, []any{t, float64(1), "", float64(10)})
	}
	return response
}

// newFixtureWithRunner is a fixture with a runner, and a grant that lasts.
func newFixtureWithRunner(t *testing.T, tasks int) (*fixture, *scriptedRunner) {
	f := newFixture(t, tasks)
	runner := &scriptedRunner{responses: map[string]RunnerResponse{pathKeepAlive: listRunning()}}
	f.agent.runner = runner
	f.session.clockMs, f.session.clockReadAt, f.session.leaseUntilMs, f.session.renewingLease = 1, time.Now(), 1e9, true
	f.session.lastResponseAt = time.Now()
	return f, runner
}

// advance lets the daemon's loop go on for so long.
func (f *fixture) advance(d time.Duration) {
	for till := time.Now().Add(d); time.Now().Before(till); {
		f.agent.advance(time.Now())
		synctest.Wait()
		f.settle()
		time.Sleep(5 * time.Millisecond)
	}
}

// TestUnansweredStartIsLookedUpBeforeRetry: a start without an answer is made again
// only once the lists, read after it, name the run neither as there nor as
// over.
func TestUnansweredStartIsLookedUpBeforeRetry(t *testing.T) {
	for name, c := range map[string]struct {
		look   RunnerResponse
		starts int
	}{
		"it is there":      {listRunning("j.0.0.0"), 1},
		"it is not there":  {listRunning(), 2},
		"the look is lost": {RunnerResponse{}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, runner := newFixtureWithRunner(t, 1)
				runner.silence(pathKeepAlive) // a look that waits is under way all the time
				f.advance(5 * time.Millisecond)
				f.assign(0)
				f.advance(200 * time.Millisecond)
				if n := runner.count(pathStart); n != 1 {
					t.Fatalf("%d starts at first", n)
				}
				if c.look.StatusCode != 0 {
					runner.respond(pathKeepAlive, c.look)
				}
				runner.respond(pathStart, RunnerResponse{StatusCode: 200})
				f.advance(200 * time.Millisecond)
				if n := runner.count(pathStart); n != c.starts {
					t.Errorf("%d starts, want %d", n, c.starts)
				}
			})
		})
	}
}

// TestUnansweredStartIsNotRefused: the runner began to drain while a start was
// without an answer. That start may be carried out later: its booking stays
// open until a stop was answered, and the lists were read after that.
func TestUnansweredStartIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, runner := newFixtureWithRunner(t, 1)
		f.assign(0)
		f.advance(260 * time.Millisecond)
		f.session.heartbeat.State = "draining"
		f.advance(time.Second)
		f.check(0, 1)
		if runner.count(pathStart) != 1 || runner.count(pathStop) == 0 {
			t.Errorf("calls: %v", runner.calls)
		}
		runner.respond(pathStop, RunnerResponse{StatusCode: 200})
		f.advance(time.Second)
		f.check(0, 0)
	})
}

// TestSilenceBeforeFirstListingIsNoRefusal: taken up under a new fence, the runner fell
// silent before its lists were read. What another fence started may run there.
func TestSilenceBeforeFirstListingIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, runner := newFixtureWithRunner(t, 1)
		runner.silence(pathKeepAlive)
		f.session.listed, f.session.longestUntilMs = false, 5000
		f.assign(0)
		f.advance(4 * time.Second)
		if !f.session.silent(f.agent.now) {
			t.Fatal("the runner is not deemed silent")
		}
		f.check(0, 1)
		f.advance(2 * time.Second)
		f.check(0, 0)
		for _, c := range f.state.TakeClosedRuns() {
			if c.Result != "lapsed" {
				t.Errorf("closed as %s", c.Result)
			}
		}
	})
}

// TestReportedRefusalIsFinal: the command with a refusal brought no answer;
// it may be committed at any later time, so the run is never started after it.
func TestReportedRefusalIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, runner := newFixtureWithRunner(t, 1)
		f.dropReport = func(*state.ReportCompletions) bool { return true }
		f.session.drainingCommitted = true
		f.assign(0)
		f.advance(100 * time.Millisecond)
		f.session.drainingCommitted = false
		runner.respond(pathStart, RunnerResponse{StatusCode: 200})
		f.advance(25 * time.Second)
		if n := runner.count(pathStart); n != 0 {
			t.Errorf("%d starts after a refusal was told", n)
		}
		f.dropReport = nil
		f.advance(25 * time.Second)
		f.check(0, 0)
	})
}

// TestTruncatedListOfCompletionsRulesNothingOut: a run whose end stands beyond the first
// 500 is neither there nor over by the list, nor may it be started.
func TestTruncatedListOfCompletionsRulesNothingOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, runner := newFixtureWithRunner(t, 1)
		f.dropReport = func(*state.ReportCompletions) bool { return true }
		full := listRunning()
		for i := range 500 {
			full.KeepAlive.Ended = append(full.KeepAlive.Ended, []any{float64(i + 1), fmt.Sprintf("k.0.0.%d", i), float64(1), "done", ""})
		}
		runner.respond(pathKeepAlive, full)
		runner.respond(pathStart, RunnerResponse{StatusCode: 409, Run: protocol.RunResponse{Reason: "room"}})
		f.session.listed = false
		f.assign(0)
		f.advance(3 * time.Second)
		if n := runner.count(pathStart); n != 0 {
			t.Errorf("%d starts before the list was read whole", n)
		}
		f.check(0, 1)
	})
}

// TestOlderPollIsIgnored: a look that was begun earlier comes back later.
func TestOlderPollIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFixtureWithRunner(t, 1)
		f.session.lastPoll = 7
		f.agent.handleKeepAlive(f.session, protocol.KeepAliveRequest{}, 7, listRunning())
		f.agent.handleKeepAlive(f.session, protocol.KeepAliveRequest{}, 6, listRunning("j.0.0.0"))
		if len(f.session.runs) != 0 {
			t.Error("what an older look showed was taken for new")
		}
	})
}

// TestCompletedRunThatIsListedIsStopped: it was told as over, yet is listed.
func TestCompletedRunThatIsListedIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, runner := newFixtureWithRunner(t, 1)
		f.session.remember(protocol.Completion{Task: "j.0.0.0", Run: 1, Result: "stopped"}, time.Now())
		runner.respond(pathKeepAlive, listRunning("j.0.0.0"))
		f.advance(50 * time.Millisecond)
		if runner.count(pathStop) == 0 {
			t.Error("it runs on")
		}
	})
}

// TestCallIsMadeOnce: neither a connection that was closed while idle, nor a
// reset once the request was read, nor a redirect has a call made twice.
func TestCallIsMadeOnce(t *testing.T) {
	var served atomic.Int32
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	mode := make(chan string, 64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveByMode(c, mode, &served)
		}
	}()
	client := newHTTPRunnerClient(ln.Addr().String())
	made := int32(0)
	for _, m := range []string{"answer", "reset", "answer", "idle", "answer", "cut", "answer", "redirect", "answer", "reset", "idle", "reset"} {
		mode <- m
		r := client.Call(t.Context(), "w", pathStart, protocol.StartRequest{TaskID: "j.0.0.0", RunID: 1})
		if len(mode) > 0 {
			// Why: the connection was closed before the request was read; the
			// server read nothing, and the client must not have called again.
			if r.StatusCode != 0 {
				t.Errorf("%s: answered %d without a call", m, r.StatusCode)
			}
			<-mode
			continue
		}
		if made++; served.Load() != made {
			t.Errorf("%s: %d requests came for %d calls", m, served.Load(), made)
		}
		if ok := m == "answer" || m == "idle"; ok != (r.StatusCode == 200) {
			t.Errorf("%s: code %d", m, r.StatusCode)
		}
	}
	if made < 8 {
		t.Errorf("only %d calls reached the server", made)
	}
}

// serveByMode reads requests; each is dealt with as the next mode says.
func serveByMode(c net.Conn, mode chan string, served *atomic.Int32) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		served.Add(1)
		const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		how := "unasked"
		select {
		case how = <-mode:
		default:
		}
		switch how {
		case "unasked":
			return
		case "answer":
			_, _ = io.WriteString(c, ok)
		case "idle":
			_, _ = io.WriteString(c, ok)
			return
		case "cut":
			_, _ = io.WriteString(c, ok[:20])
			return
		case "redirect":
			_, _ = io.WriteString(c, "HTTP/1.1 303 See Other\r\nLocation: /-/run-start\r\nContent-Length: 0\r\n\r\n")
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

// TestEachCallHasAPolicy: what is made again, and when, is decided by the
// table alone.
func TestEachCallHasAPolicy(t *testing.T) {
	for path, want := range map[string]bool{pathStart: false, pathStop: false, pathKeepAlive: true} {
		if k, ok := callPolicies[path]; !ok || k.Retryable != want || k.Reason == "" {
			t.Errorf("%s: %+v", path, k)
		}
	}
}
