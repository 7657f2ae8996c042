// Package standin has stand-ins for what is outside of a cluster of gateways: the
// platform that lists runners, and these runners. They serve on whatever network they are
// given, so that the simulation and processes on this machine use the same ones. No daemon
// imports it.
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
	// listPageSize is the number of runners on a page of the list.
	listPageSize = 3
	// slots is how many requests a runner says that it works on at once.
	slots = 4
	// headerTimeout is how long the head of a request may take.
	headerTimeout = 3 * time.Second
	// drainTime is how long a runner serves on after it was listed as leaving.
	drainTime = 3 * time.Second
)

// Options are what a Platform is built from.
type Options struct {
	Address string // of the API that lists the runners, HOST:PORT
	// RunnerAddress returns the address of the n-th runner that is started, from 1 on.
	RunnerAddress func(n int) string
	Listen        func(address string) (net.Listener, error)
	// Disconnect cuts the connections of a runner that crashes; nil: they are closed.
	Disconnect func(address string)
	// Observe is notified of each run, as it begins and once it has ended; nil: nobody is.
	Observe func(Run)
}

// Run is one run of a client's request, which has come in whole, at a runner.
type Run struct {
	Attempt string // the client's ID of the request
	Runner  string // ID
	BeganAt time.Time
	EndedAt time.Time // zero: it is under way
	// Broken: the caller had gone, or the runner ended, before the answer was written.
	Broken bool
	// RunnerEnded: the runner had ended by then.
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

// Platform stands in for the platform that lists the runners of gateways, and for these.
// It is safe for concurrent use.
type Platform struct {
	options Options
	server  *http.Server

	mu      sync.Mutex
	ended   map[string]bool   // IDs of runners that have ended
	listed  map[string]Runner // by ID
	started int               // runners, ever
	runs    map[string]int    // of each attempt, over all runners
	// arrivals has when the head of the last request came to each runner, by ID.
	arrivals map[string]time.Time
}

// NewPlatform starts a platform without runners.
func NewPlatform(options Options) (*Platform, error) {
	p := &Platform{options: options, ended: map[string]bool{}, listed: map[string]Runner{}, runs: map[string]int{}, arrivals: map[string]time.Time{}}
	var err error
	p.server, err = p.serve(options.Address, http.HandlerFunc(p.serveList))
	return p, err
}

// serve serves at an address until the server that it returns is closed.
func (p *Platform) serve(address string, handler http.Handler) (*http.Server, error) {
	socket, err := p.options.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("stand-in at %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(socket) }() // until it is closed
	return server, nil
}

// Address is where the platform lists its runners.
func (p *Platform) Address() string { return p.options.Address }

// serveList answers GET /runners with a page of the list.
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
	_ = json.NewEncoder(w).Encode(page) // the caller may have gone
}

// Runners lists the runners by ID.
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

// Runner returns the entry of a runner; false if it isn't listed.
func (p *Platform) Runner(id string) (Runner, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runner, ok := p.listed[id]
	return runner, ok
}

// StartRunner starts a runner of a service in a zone, and lists it. It gives its ID.
func (p *Platform) StartRunner(service, zone string) (string, error) {
	p.mu.Lock()
	p.started++
	runner := Runner{ID: fmt.Sprintf("i-%02d", p.started), TargetService: service, Zone: zone, Slots: slots, State: protocol.RunnerReady}
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

// MarkDraining lists a runner as leaving.
func (p *Platform) MarkDraining(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runner := p.listed[id]
	runner.State = protocol.RunnerDraining
	p.listed[id] = runner
}

// Drain lists a runner as leaving, and ends it after a while.
func (p *Platform) Drain(id string) {
	p.MarkDraining(id)
	time.AfterFunc(drainTime, func() { p.Crash(id, 0) })
}

// Crash ends a runner at once; it stays listed for a while.
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

// LastArrival is when the head of the last request for it came to a runner; zero: none has.
func (p *Platform) LastArrival(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrivals[id]
}

// RunsOf is how often an attempt of a client ran.
func (p *Platform) RunsOf(attempt string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[attempt]
}

// Close ends the platform and all runners that are listed.
func (p *Platform) Close() {
	_ = p.server.Close()
	for _, runner := range p.Runners() {
		_ = runner.server.Close()
	}
}
