// Command harness3 plays the cases 4 and 8 of this review, and renamed-route, which is no case of its own. Each
// starts the project's own program as processes on loopback addresses, with small stand-ins of clients, runners,
// operators and machines, and writes a record of what was sent, answered and run.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"tealpond/internal/localcluster"
	"tealpond/internal/standin"
)

// caseLimit ends a case that takes too long.
const caseLimit = 112 * time.Second

// run is one run of a case.
type run struct {
	trouble  bool // play the disruption
	program  string
	dir      string
	subnet   localcluster.Subnet
	cluster  *localcluster.Cluster
	cleanups []func()

	runners    map[int]*standin.Worker // by the number of their side daemon
	stopRunner map[int]func()

	mu     sync.Mutex
	record *bufio.Writer
	began  time.Time
}

// errCannotRun marks errors of the case itself.
type errCannotRun struct{ error }

func cannotRun(format string, args ...any) error { return errCannotRun{fmt.Errorf(format, args...)} }

// note writes a line of the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// startCluster starts the daemons on an unused loopback network.
func (r *run) startCluster(options localcluster.Options) error {
	options.Program, options.Directory, options.Subnet = r.program, r.dir, r.subnet
	cluster, err := localcluster.Start(options)
	if err != nil {
		return cannotRun("start the cluster: %v", err)
	}
	r.cluster = cluster
	r.cleanups = append(r.cleanups, cluster.Close)
	return nil
}

func (r *run) daemon(n int) *localcluster.Daemon {
	d, err := r.cluster.Daemon(fmt.Sprintf("node-%d", n))
	if err != nil {
		panic(err)
	}
	return d
}

// answer is the answer to an HTTP request; status 0 means none.
type answer struct {
	status int
	body   string
	header http.Header
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call makes one HTTP request.
func call(method, address, host, path, body string, timeout time.Duration, headers map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}
	}
	if host != "" {
		request.Host = host
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, strings.TrimSpace(string(text)), response.Header}
}

// await polls until a condition holds.
func await(what string, limit time.Duration, holds func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return cannotRun("%s did not happen within %v", what, limit)
}

// ready reports whether the daemons from the first to the last are ready.
func (r *run) ready(first, last int) bool {
	for n := first; n <= last; n++ {
		if call("GET", r.daemon(n).ReadinessAddress(), "", "/-/readiness", "", time.Second, nil).status != http.StatusOK {
			return false
		}
	}
	return true
}

// configure sends the first configuration until it is taken.
func (r *run) configure(n int, text string) error {
	return await("taking the first configuration", 20*time.Second, func() bool {
		return call("POST", r.daemon(n).ControlAddress(), "", "/-/Config.Replace", text, time.Second,
			map[string]string{"X-Tealpond-Based-On": "0"}).status == http.StatusOK
	})
}

// cases are the cases by name. A case returns what broke the rule, or an empty text.
var cases = map[string]func(*run) (string, error){
	"never-due":     neverDue,
	"renamed-route": renamedRoute,
	"shifted-names": shiftedNames,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE PROGRAM RECORD")
		return 2
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &run{runners: map[int]*standin.Worker{}, stopRunner: map[int]func(){}, trouble: os.Getenv("TROUBLE") != "0", program: program, dir: dir, record: bufio.NewWriter(file), began: time.Now()}
	for range 50 {
		r.subnet = localcluster.Subnet{A: byte(64 + rand.IntN(60)), B: byte(1 + rand.IntN(250))}
		if !r.subnet.InUse() {
			break
		}
	}
	code := make(chan int, 1)
	go func() {
		broken, err := cases[os.Args[1]](r)
		switch {
		case err != nil:
			r.note("the case could not run: %v", err)
			code <- 2
		case broken != "":
			r.note("BROKEN: %s", broken)
			code <- 1
		default:
			r.note("the rule held")
			code <- 0
		}
	}()
	result := 2
	select {
	case result = <-code:
	case <-time.After(caseLimit):
		r.note("the case took too long")
	}
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
	_ = os.RemoveAll(dir)
	r.mu.Lock()
	_ = r.record.Flush()
	_ = file.Close()
	r.mu.Unlock()
	return result
}
