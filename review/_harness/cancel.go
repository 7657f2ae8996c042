package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"tealpond/internal/standin"
)

func init() { cases["cancel"] = playCancel }

const (
	// cancelBound is cancel_ms, and freeze the length of the node_freeze of nbo-tealpond.
	cancelBound, freeze = 3 * time.Second, 3500 * time.Millisecond
	// patience is how long the client waits for an answer before it leaves.
	patience = 250 * time.Millisecond
	// cancelledJobs is the number of jobs that are handed in and cancelled.
	cancelledJobs = 6
)

// playCancel plays a client that hands jobs in at a daemon that stands still, leaves before its
// deadline and cancels the jobs at another daemon. Without trouble the daemon does not stand still.
func playCancel(p *play, program, directory string) (bool, error) {
	var mu sync.Mutex
	startedAt := map[string]time.Time{} // the last start, by job
	err := p.begin(program, directory, layout{servers: 3, proxies: 2, agents: 3, zones: 3, settings: smallSettings(),
		worker: func(_ int, options *standin.WorkerOptions) {
			note := options.Observe
			options.Observe = func(event standin.WorkerEvent) {
				note(event)
				if event.Kind == standin.WorkerRunStarted {
					mu.Lock()
					defer mu.Unlock()
					job, _, _ := strings.Cut(event.Task, ".")
					startedAt[job] = time.Now()
				}
			}
		}})
	if err != nil {
		return false, err
	}
	if err := p.configure(firstConfiguration); err != nil {
		return false, err
	}
	const job = `{"jobSpec":"ms=800 cpu=500","steps":[{"taskCount":1,"cpuUnits":500,"memMb":64,"estimateMs":800}]}`
	if err := p.await("a first job", 20*time.Second, func() bool { return p.submit("00000000000000b0", job) }); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // a calm time of inTouchMs and more
	still, sound := p.proxies[1], p.proxies[0]
	if p.trouble {
		p.printf("%s stands still for %v", still, freeze)
		if err := p.cluster.Signal(still, syscall.SIGSTOP); err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	frozenAt := time.Now()
	cancelledAt := map[string]time.Time{}
	var clients sync.WaitGroup
	for i := range cancelledJobs {
		clients.Go(func() {
			id := fmt.Sprintf("00000000000000c%d", i)
			status, text, err := p.client(still, http.MethodPost, prefix+id, job, patience)
			p.printf("POST %s at %s: status %d %s %v", id, still, status, text, err)
			status, text, err = p.client(sound, http.MethodDelete, prefix+id, nil, time.Second)
			p.printf("DELETE %s at %s: status %d %s %v", id, sound, status, text, err)
			if err == nil && (status == http.StatusOK || status == http.StatusGone) {
				mu.Lock()
				cancelledAt[id] = time.Now()
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	if len(cancelledAt) != cancelledJobs {
		return false, fmt.Errorf("%w: only %d cancels were acknowledged", errNotRun, len(cancelledAt))
	}
	time.Sleep(freeze - time.Since(frozenAt))
	if p.trouble {
		if err := p.cluster.Signal(still, syscall.SIGCONT); err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
		p.printf("%s goes on", still)
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := false
	for id, at := range cancelledAt {
		if started, ran := startedAt[id]; ran && started.Sub(at) > cancelBound {
			p.printf("a task of job %s was started %.2f s after its cancelling was acknowledged; cancel_ms is %v",
				id, started.Sub(at).Seconds(), cancelBound)
			broken = true
		}
	}
	return broken, nil
}
