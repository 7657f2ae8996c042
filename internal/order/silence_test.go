package order

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

	"tealpond/internal/store"
	"tealpond/internal/wire"
)

// scripted is a runner whose answers a test gives; a path without one leaves
// calls unanswered.
type scripted struct {
	mu      sync.Mutex
	answers map[string]Reply
	made    []string // path, and the run's task
}

func (c *scripted) Call(x context.Context, _, path string, body any) Reply {
	c.mu.Lock()
	task := ""
	switch b := body.(type) {
	case wire.Start:
		task = b.TaskID
	case wire.Stop:
		task = b.TaskID
	}
	c.made = append(c.made, path+" "+task)
	r, ok := c.answers[path]
	c.mu.Unlock()
	if !ok {
		<-x.Done()
	}
	return r
}

func (c *scripted) set(path string, r Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[path] = r
}

func (c *scripted) silent(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.answers, path)
}

func (c *scripted) count(path string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.made {
		if strings.HasPrefix(m, path) {
			n++
		}
	}
	return n
}

// running is an answer to a look: these tasks run, as run 1.
func running(tasks ...string) Reply {
	r := Reply{Code: 200, Lists: wire.Lists{ClockMs: 5}}
	for _, t := range tasks {
		r.Lists.Running = append(r.Lists.Running, []any{t, float64(1), "", float64(10)})
	}
	return r
}

// newTurned is a fixture with a runner, and a grant that lasts.
func newTurned(t *testing.T, tasks int) (*fixture, *scripted) {
	b := newFixture(t, tasks)
	c := &scripted{answers: map[string]Reply{pathHold: running()}}
	b.s.call = c
	b.session.clock, b.session.clockAt, b.session.until, b.session.renewing = 1, time.Now(), 1e9, true
	b.session.heardAt = time.Now()
	return b, c
}

// turn lets the daemon's loop go on for so long.
func (b *fixture) turn(d time.Duration) {
	for till := time.Now().Add(d); time.Now().Before(till); {
		b.s.rest(time.Now())
		synctest.Wait()
		b.settle()
		time.Sleep(5 * time.Millisecond)
	}
}

// TestStartIsLookedForAfterSilence: a start without an answer is made again
// only once the lists, read after it, name the run neither as there nor as
// over.
func TestStartIsLookedForAfterSilence(t *testing.T) {
	for name, c := range map[string]struct {
		look   Reply
		starts int
	}{
		"it is there":      {running("j.0.0.0"), 1},
		"it is not there":  {running(), 2},
		"the look is lost": {Reply{}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, r := newTurned(t, 1)
				r.silent(pathHold) // a look that waits is under way all the time
				b.turn(5 * time.Millisecond)
				b.order(0)
				b.turn(200 * time.Millisecond)
				if n := r.count(pathStart); n != 1 {
					t.Fatalf("%d starts at first", n)
				}
				if c.look.Code != 0 {
					r.set(pathHold, c.look)
				}
				r.set(pathStart, Reply{Code: 200})
				b.turn(200 * time.Millisecond)
				if n := r.count(pathStart); n != c.starts {
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
		b, r := newTurned(t, 1)
		b.order(0)
		b.turn(260 * time.Millisecond)
		b.session.beat.State = "draining"
		b.turn(time.Second)
		b.check(0, 1)
		if r.count(pathStart) != 1 || r.count(pathStop) == 0 {
			t.Errorf("calls: %v", r.made)
		}
		r.set(pathStop, Reply{Code: 200})
		b.turn(time.Second)
		b.check(0, 0)
	})
}

// TestDarkBeforeListedIsNotRefused: taken up under a new fence, the runner fell
// silent before its lists were read. What another fence started may run there.
func TestDarkBeforeListedIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, r := newTurned(t, 1)
		r.silent(pathHold)
		b.session.listed, b.session.sent = false, 5000
		b.order(0)
		b.turn(4 * time.Second)
		if !b.s.dark(b.session) {
			t.Fatal("the runner is not deemed silent")
		}
		b.check(0, 1)
		b.turn(2 * time.Second)
		b.check(0, 0)
		for _, c := range b.st.Closed() {
			if c.How != "lapsed" {
				t.Errorf("closed as %s", c.How)
			}
		}
	})
}

// TestRefusalThatWasToldHolds: the command with a refusal brought no answer;
// it may be committed at any later time, so the run is never started after it.
func TestRefusalThatWasToldHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, r := newTurned(t, 1)
		b.lose = func(*store.Ends) bool { return true }
		b.session.drain = true
		b.order(0)
		b.turn(100 * time.Millisecond)
		b.session.drain = false
		r.set(pathStart, Reply{Code: 200})
		b.turn(25 * time.Second)
		if n := r.count(pathStart); n != 0 {
			t.Errorf("%d starts after a refusal was told", n)
		}
		b.lose = nil
		b.turn(25 * time.Second)
		b.check(0, 0)
	})
}

// TestLongListOfEndsRulesNothingOut: a run whose end stands beyond the first
// 500 is neither there nor over by the list, nor may it be started.
func TestLongListOfEndsRulesNothingOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, r := newTurned(t, 1)
		b.lose = func(*store.Ends) bool { return true }
		full := running()
		for i := range 500 {
			full.Lists.Ended = append(full.Lists.Ended, []any{float64(i + 1), fmt.Sprintf("k.0.0.%d", i), float64(1), "done", ""})
		}
		r.set(pathHold, full)
		r.set(pathStart, Reply{Code: 409, Clock: wire.Clock{Reason: "room"}})
		b.session.listed = false
		b.order(0)
		b.turn(3 * time.Second)
		if n := r.count(pathStart); n != 0 {
			t.Errorf("%d starts before the list was read whole", n)
		}
		b.check(0, 1)
	})
}

// TestOlderLookIsPassedOver: a look that was begun earlier comes back later.
func TestOlderLookIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newTurned(t, 1)
		b.session.holdNo = 7
		b.s.onLists(b.session, wire.Hold{}, 7, running())
		b.s.onLists(b.session, wire.Hold{}, 6, running("j.0.0.0"))
		if len(b.session.runs) != 0 {
			t.Error("what an older look showed was taken for new")
		}
	})
}

// TestRunThatIsOverForTheStateIsStopped: it was told as over, yet is listed.
func TestRunThatIsOverForTheStateIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, r := newTurned(t, 1)
		b.session.remember(wire.End{Task: "j.0.0.0", Run: 1, How: "stopped"}, time.Now())
		r.set(pathHold, running("j.0.0.0"))
		b.turn(50 * time.Millisecond)
		if r.count(pathStop) == 0 {
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
			go serve(c, mode, &served)
		}
	}()
	d := newDutyCaller(ln.Addr().String())
	made := int32(0)
	for _, m := range []string{"answer", "reset", "answer", "idle", "answer", "cut", "answer", "redirect", "answer", "reset", "idle", "reset"} {
		mode <- m
		r := d.Call(t.Context(), "w", pathStart, wire.Start{TaskID: "j.0.0.0", RunID: 1})
		if len(mode) > 0 {
			// Why: the connection was closed before the request was read; the
			// server read nothing, and the client must not have called again.
			if r.Code != 0 {
				t.Errorf("%s: answered %d without a call", m, r.Code)
			}
			<-mode
			continue
		}
		if made++; served.Load() != made {
			t.Errorf("%s: %d requests came for %d calls", m, served.Load(), made)
		}
		if ok := m == "answer" || m == "idle"; ok != (r.Code == 200) {
			t.Errorf("%s: code %d", m, r.Code)
		}
	}
	if made < 8 {
		t.Errorf("only %d calls reached the server", made)
	}
}

// serve reads requests; each is dealt with as the next mode says.
func serve(c net.Conn, mode chan string, served *atomic.Int32) {
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

// TestEachCallIsDeclared: what is made again, and when, is decided by the
// table alone.
func TestEachCallIsDeclared(t *testing.T) {
	for path, want := range map[string]bool{pathStart: false, pathStop: false, pathHold: true} {
		if k, ok := calls[path]; !ok || k.Repeatable != want || k.Why == "" {
			t.Errorf("%s: %+v", path, k)
		}
	}
}
