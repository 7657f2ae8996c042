// Package standin provides fakes of the systems outside of a cluster: the platform that lists
// runners, and the runners themselves, those of gateways and those of worker machines. The fakes
// serve on any network that they are given, so that the simulation and tests with processes on this
// machine share them. No daemon imports the package.
package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"tealpond/internal/protocol"
)

const (
	// listPageSize is the number of runners on one page of the list.
	listPageSize = 3
	// runnerSlots is the number of concurrent requests that a runner's entry allows.
	runnerSlots = 4
	// headerTimeout is the time limit for reading the header of a request.
	headerTimeout = 3 * time.Second
	// drainDelay is how long a runner keeps serving after it was listed as draining.
	drainDelay = 3 * time.Second
)

// Options configure a Platform.
type Options struct {
	Address string // HOST:PORT of the API that lists the runners
	// RunnerAddress returns the address of the n-th runner that is started, counting from 1.
	RunnerAddress func(n int) string
	Listen        func(address string) (net.Listener, error)
	// Disconnect breaks the connections of a runner that crashes. If it is nil, they are closed in the
	// usual way.
	Disconnect func(address string)
	// Observe is called with each run when it begins and when it has ended; it may be nil.
	Observe func(Run)
}

// Run is one execution of a client's request at a runner. It begins once the whole request has arrived.
type Run struct {
	AttemptID string // the client's attempt ID
	RunnerID  string // ID of the runner
	StartedAt time.Time
	EndedAt   time.Time // zero while the run is in progress
	// Aborted reports that the caller disconnected or the runner ended before the answer was written.
	Aborted bool
	// RunnerEnded reports that the runner had ended by EndedAt.
	RunnerEnded bool
}

// Runner is an entry of the platform's list.
type Runner struct {
	ID            string `json:"id"`
	TargetService string `json:"targetService"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Slots         int    `json:"slots"`
	State         string `json:"state"`

	server *http.Server
}

// Platform is a fake of the platform that lists the runners of gateways, and of these runners. It is
// safe for concurrent use.
type Platform struct {
	options Options
	server  *http.Server

	mu      sync.Mutex
	ended   map[string]bool   // IDs of runners that have ended
	listed  map[string]Runner // by ID
	started int               // number of runners started so far
	runs    map[string]int    // number of runs by attempt, over all runners
	// arrivals holds the time when the header of the last request arrived, by runner ID.
	arrivals map[string]time.Time
}

// NewPlatform starts a platform that lists no runners.
func NewPlatform(options Options) (*Platform, error) {
	p := &Platform{options: options, ended: map[string]bool{}, listed: map[string]Runner{}, runs: map[string]int{}, arrivals: map[string]time.Time{}}
	var err error
	p.server, err = p.serve(options.Address, http.HandlerFunc(p.serveList))
	return p, err
}

// serve starts a server at an address; it runs until it is closed.
func (p *Platform) serve(address string, handler http.Handler) (*http.Server, error) {
	socket, err := p.options.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(socket) }() // until it is closed
	return server, nil
}

// Address returns the address of the API that lists the runners.
func (p *Platform) Address() string { return p.options.Address }

// serveList answers a request for the list of runners with one page of it.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list := p.Runners()
	from := sort.Search(len(list), func(i int) bool { return list[i].ID > r.URL.Query().Get("pageToken") })
	to := min(from+listPageSize, len(list))
	page := struct {
		InstanceList []Runner `json:"instanceList"`
		NextToken    *string  `json:"nextToken"`
	}{InstanceList: list[from:to]}
	if to < len(list) {
		page.NextToken = &list[to-1].ID
	}
	_ = json.NewEncoder(w).Encode(page) // the caller may have disconnected
}

// Runners returns the listed runners in the order of their IDs.
func (p *Platform) Runners() []Runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []Runner{}
	for _, runner := range p.listed {
		list = append(list, runner)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Runner returns the entry of a runner, and whether it is listed.
func (p *Platform) Runner(id string) (Runner, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runner, ok := p.listed[id]
	return runner, ok
}

// StartRunner starts a runner of a service in a zone, lists it and returns its ID.
func (p *Platform) StartRunner(service, zone string) (string, error) {
	p.mu.Lock()
	p.started++
	runner := Runner{ID: fmt.Sprintf("i-%02d", p.started), TargetService: service, Zone: zone, Slots: runnerSlots, State: protocol.RunnerReady}
	runner.Address = p.options.RunnerAddress(p.started)
	p.mu.Unlock()
	var err error
	if runner.server, err = p.serve(runner.Address, p.serveRequests(runner.ID)); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed[runner.ID] = runner
	return runner.ID, nil
}

// MarkDraining lists a runner as draining.
func (p *Platform) MarkDraining(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runner := p.listed[id]
	runner.State = protocol.RunnerDraining
	p.listed[id] = runner
}

// Drain lists a runner as draining and ends it after drainDelay.
func (p *Platform) Drain(id string) {
	p.MarkDraining(id)
	time.AfterFunc(drainDelay, func() { p.Crash(id, 0) })
}

// Crash ends a runner at once. Its entry is removed from the list after listedFor.
func (p *Platform) Crash(id string, listedFor time.Duration) {
	runner, ok := p.Runner(id)
	if !ok {
		return
	}
	p.mu.Lock()
	p.ended[id] = true
	p.mu.Unlock()
	if p.options.Disconnect != nil {
		p.options.Disconnect(runner.Address)
	}
	_ = runner.server.Close()
	time.AfterFunc(listedFor, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.listed, id)
	})
}

// hasEnded reports whether a runner has ended.
func (p *Platform) hasEnded(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended[id]
}

// LastRequestAt returns when the header of the last request that named the runner as its target arrived
// there, or the zero time if there was none.
func (p *Platform) LastRequestAt(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrivals[id]
}

// RunCount returns how many times an attempt of a client ran, over all runners.
func (p *Platform) RunCount(attempt string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[attempt]
}

// Close closes the platform's server and the servers of all listed runners.
func (p *Platform) Close() {
	_ = p.server.Close()
	for _, runner := range p.Runners() {
		_ = runner.server.Close()
	}
}
