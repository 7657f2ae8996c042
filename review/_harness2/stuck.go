package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/standin"
)

const (
	// stuckAgents is the number of runners, of which one hangs: a share of 0.1.
	stuckAgents = 10
	// hangFor is how long the runner answers nothing. `srv_grey` with how = "hang" lasts up to 6.1 s.
	hangFor = 2600 * time.Millisecond
	// freezeAfter is the time from the start of the hang to the freeze of the aggregator, and freezeFor
	// how long that machine stands still. `node_freeze` lasts up to 5 s.
	freezeAfter = 1300 * time.Millisecond
	freezeFor   = 4 * time.Second
	// stuckRounds is how often both come.
	stuckRounds = 5
	// roundPause is the calm time after each round.
	roundPause = 4 * time.Second
	// startWithin is finish_s.
	startWithin = 14 * time.Second
)

// hanging wraps the handler of a runner that may hang: it then answers nothing.
type hanging struct {
	next  http.Handler
	mu    sync.Mutex
	armed chan struct{} // closed when the hang begins, which is with the next poll
	until time.Time
}

// arm has the runner hang from the next poll on, and returns a channel that is closed then.
func (h *hanging) arm() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.armed = make(chan struct{})
	return h.armed
}

// hangs reports whether a call gets no answer.
func (h *hanging) hangs(path string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.armed != nil && path == "/-/hold" {
		close(h.armed)
		h.armed, h.until = nil, time.Now().Add(hangFor)
	}
	return time.Now().Before(h.until)
}

// ServeHTTP implements http.Handler.
func (h *hanging) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.hangs(r.URL.Path) {
		select {
		case <-r.Context().Done():
		case <-time.After(hangFor):
		}
		panic(http.ErrAbortHandler)
	}
	h.next.ServeHTTP(w, r)
}

// aggregator returns the daemon that is the aggregator of the only zone, as the leaders' logs name it.
func (f *fleet) aggregator() string {
	name := ""
	for _, line := range f.cluster.Log() {
		if !strings.Contains(line.Text, "event=aggregator.appointed") {
			continue
		}
		for _, server := range f.names[:3] {
			if strings.Contains(line.Text, " address="+f.daemon(server).DaemonAddress()+" ") {
				name = server
			}
		}
	}
	return name
}

// playStuckWorker has a runner hang for a moment, while the server to which its agent reports stands still.
// Afterwards all is well again, and a job that only this runner may run must start.
func playStuckWorker(c *casePlay) (bool, error) {
	started := sync.Map{}
	f, err := c.startFleet(stuckAgents, func(event standin.WorkerEvent) {
		if event.Kind == standin.WorkerRunStarted {
			started.Store(event.Task, true)
			c.printf("%s: began %s", event.Node, event.Task)
		}
	})
	if err != nil {
		return false, err
	}
	// A long task keeps the runner at work, as the traffic of a day would.
	long := protocol.Job{Spec: "ms=100000", Steps: []protocol.Step{{TaskCount: 1, CPUUnits: 500, MemoryMB: 256, EstimateMs: 100000, RequiredLabels: []string{labelOfOne}}}}
	if err := f.submit("5c0e7a21d94b36f0", long); err != nil {
		return false, err
	}
	job := protocol.Job{Spec: "ms=300", Steps: []protocol.Step{{TaskCount: 1, CPUUnits: 500, MemoryMB: 256, EstimateMs: 300, RequiredLabels: []string{labelOfOne}}}}
	for round := range stuckRounds {
		c.pause(roundPause)
		if c.trouble {
			if err := f.hangAndFreeze(); err != nil {
				return false, err
			}
		}
		id := fmt.Sprintf("5c0e7a21d94b36e%d", round+1)
		if err := f.submit(id, job); err != nil {
			return false, err
		}
		handedIn := time.Now()
		for time.Since(handedIn) < startWithin {
			if _, ok := started.Load(id + ".0.0.0"); ok {
				break
			}
			c.pause(50 * time.Millisecond)
		}
		if c.ctx.Err() != nil {
			return false, fmt.Errorf("%w: out of time", errNotRun)
		}
		if _, ok := started.Load(id + ".0.0.0"); !ok {
			c.printf("job %s has not begun %.0f s after it was accepted, state %s; its runner is ready and has room for 16 such tasks", id, time.Since(handedIn).Seconds(), f.state(id))
			f.showWorkers()
			return true, nil
		}
	}
	return false, nil
}

// showWorkers records what the leader knows of the runners, for the reader of the record only.
func (f *fleet) showWorkers() {
	output, _ := exec.Command(filepath.Join("target", "tealpond"), "query", "--at", f.daemon(f.names[0]).DaemonAddress(),
		"SELECT id, cpu, cpu_used, draining, sick, lost, dead FROM workers").CombinedOutput()
	f.printf("workers, as the project's own query shows them:\n%s", output)
}

// hangAndFreeze plays the two troubles, and returns once both are over for some time.
func (f *fleet) hangAndFreeze() error {
	aggregator := f.aggregator()
	if aggregator == "" {
		return fmt.Errorf("%w: no aggregator was appointed", errNotRun)
	}
	select {
	case <-f.hanging.arm():
	case <-time.After(5 * time.Second):
		return fmt.Errorf("%w: no poll came", errNotRun)
	}
	f.printf("the runner of kind %q answers nothing for %v", labelOfOne, hangFor)
	f.pause(freezeAfter)
	_ = f.cluster.Signal(aggregator, syscall.SIGSTOP)
	f.printf("%s stands still for %v", aggregator, freezeFor)
	f.pause(freezeFor)
	_ = f.cluster.Signal(aggregator, syscall.SIGCONT)
	f.printf("%s goes on", aggregator)
	f.pause(roundPause)
	return nil
}
