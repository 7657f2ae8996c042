// Command harness2 plays the cases 5 to 7 of this review, and evacuation and waiting, which are no cases now: it
// starts the project's own program as processes on loopback addresses, with stand-ins of runners, platform and
// clients, and checks one rule.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"tealpond/internal/localcluster"
	"tealpond/internal/settings"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1
	exitNotRun = 2 // the case couldn't run
)

// errNotRun marks errors by which a case couldn't run.
var errNotRun = errors.New("the case could not run")

// maxLength bounds a case as a whole.
const maxLength = 110 * time.Second

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

// printf adds a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(r.file, line)
}

// casePlay is a case in progress.
type casePlay struct {
	*record
	ctx     context.Context
	trouble bool
	folder  string // temporary
	cluster *localcluster.Cluster
	http    *http.Client
}

// main plays one case: harness2 CASE RECORD.
func main() {
	cases := map[string]func(*casePlay) (broken bool, err error){
		"tally":      playTally,
		"extra":      playExtraAnswer,
		"stuck":      playStuckWorker,
		"waiting":    playWaiting,
		"evacuation": playEvacuation,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(run func(*casePlay) (bool, error), recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	c := &casePlay{
		record:  &record{file: file, startedAt: time.Now()},
		ctx:     ctx,
		trouble: os.Getenv("TROUBLE") != "0",
		folder:  folder,
		http:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	defer c.closeCluster()
	c.printf("trouble: %v", c.trouble)
	broken, err := run(c)
	switch {
	case err != nil:
		c.printf("NOT RUN: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		c.printf("BROKEN")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	c.printf("HELD")
	fmt.Println("the rule held")
	return exitHeld
}

// startCluster starts a cluster on a loopback network that nothing uses, and waits until each daemon
// that takes clients is ready.
func (c *casePlay) startCluster(options localcluster.Options) error {
	options.Program, options.Directory = filepath.Join("target", "tealpond"), filepath.Join(c.folder, "cluster")
	if err := os.MkdirAll(options.Directory, 0o700); err != nil {
		return err
	}
	options.Subnet = freeSubnet()
	var err error
	if c.cluster, err = localcluster.Start(options); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	c.printf("started %d servers, %d daemons without a disk and %d agents at %s", options.Servers, options.Proxies, options.Agents, options.Subnet.Host(0))
	return nil
}

// freeSubnet returns a loopback network on which the first daemon's port is free.
func freeSubnet() localcluster.Subnet {
	for {
		subnet := localcluster.Subnet{A: byte(64 + rand.IntN(128)), B: byte(rand.IntN(250))}
		if !subnet.InUse() {
			return subnet
		}
	}
}

// awaitReady waits until the readiness addresses of the given daemons answer 200.
func (c *casePlay) awaitReady(names []string, timeout time.Duration) error {
	return c.await("the daemons to become ready", timeout, func() bool {
		for _, name := range names {
			status, _ := c.call(time.Second, http.MethodGet, "http://"+c.daemon(name).ReadinessAddress()+"/-/readiness", nil, nil)
			if status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// await waits until a condition holds.
func (c *casePlay) await(what string, timeout time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(timeout); ; {
		if holds() {
			return nil
		}
		if time.Now().After(deadline) || c.ctx.Err() != nil {
			return fmt.Errorf("%w: waited for %s", errNotRun, what)
		}
		c.pause(20 * time.Millisecond)
	}
}

// pause waits.
func (c *casePlay) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}

// daemon returns a daemon of the cluster.
func (c *casePlay) daemon(name string) *localcluster.Daemon {
	daemon, err := c.cluster.Daemon(name)
	if err != nil {
		panic(err)
	}
	return daemon
}

// kill kills a daemon's process and waits for its exit.
func (c *casePlay) kill(name string) {
	_ = c.cluster.Signal(name, syscall.SIGKILL)
	<-c.daemon(name).Exited()
}

// wipe empties the data folder of a daemon that isn't running.
func (c *casePlay) wipe(name string) error {
	data := filepath.Join(c.folder, "cluster", name, "data")
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	return os.MkdirAll(data, 0o700)
}

// closeCluster ends all processes of the cluster, and keeps its log beside the record.
func (c *casePlay) closeCluster() {
	if c.cluster == nil {
		return
	}
	if path := os.Getenv("CLUSTER_LOG"); path != "" {
		if log, err := os.Create(path); err == nil {
			for _, line := range c.cluster.Log() {
				_, _ = fmt.Fprintf(log, "%8.3f  %s  %s\n", line.At.Sub(c.startedAt).Seconds(), line.Daemon, line.Text)
			}
			_ = log.Close()
		}
	}
	c.cluster.Close()
}

// call makes a call with a JSON body; the status is 0 if there is no complete answer in time.
func (c *casePlay) call(timeout time.Duration, method, url string, headers map[string]string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// listen listens at an address.
func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// baseBounds are the bounds of the pages that the small deployments share.
func baseBounds() settings.Bounds {
	return settings.Bounds{
		InTouchMs: 4000, GraceS: 6, MaxLeaseMs: 10000, StopGraceMs: 900, DrainMs: 2500, GangWaitMs: 4000,
		EarlyMs: 250, StatusS: 120, SpreadFactor: 1.5, RestoreMs: 250, EvacuateMs: 5000, ConfigApplyMs: 2500,
		CheckpointEveryS: 1,
	}
}
