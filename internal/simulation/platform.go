package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"tealpond/internal/protocol"
)

// Platform stands in for the platform that lists the runners of gateways, and for these.
type Platform struct {
	Address string // of its API, HOST:PORT

	cluster *Cluster
	server  *http.Server
	mu      sync.Mutex
	listed  map[string]listedRunner // by ID
	runners int                     // that were ever started
	runs    map[string]int          // of each attempt, over all runners
	calls   int                     // to the list
	// announces: there is no list, and the runners tell of themselves until stopAnnouncing.
	announces      bool
	announcing     context.Context
	stopAnnouncing context.CancelFunc
	announcers     sync.WaitGroup
}

// listedRunner is an entry of the platform's list.
type listedRunner struct {
	ID            string `json:"id"`
	TargetService string `json:"targetService"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Slots         int    `json:"slots"`
	State         string `json:"state"`

	server *http.Server
}

const (
	platformHost  = 249
	platformPort  = 8100
	listPageSize  = 3
	apiRunnerPort = 8080
	// apiWorkTime is how long a runner works on a request.
	apiWorkTime = 150 * time.Millisecond
)

// NewPlatform starts a platform without runners.
func NewPlatform(c *Cluster) *Platform {
	p := &Platform{Address: address(c.hostIP(platformHost), platformPort), cluster: c, listed: map[string]listedRunner{}, runs: map[string]int{}}
	p.announcing, p.stopAnnouncing = context.WithCancel(context.Background())
	p.server = c.serveHTTP(p.Address, http.HandlerFunc(p.serveList))
	return p
}

// serveHTTP serves on the simulated network.
func (c *Cluster) serveHTTP(addr string, handler http.Handler) *http.Server {
	socket, err := c.Network.Host(hostPart(addr)).Listen(context.Background(), addr)
	if err != nil {
		c.T.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	go func() { _ = server.Serve(socket) }() // until it is closed
	return server
}

// serveList answers GET /runners with a page of the list.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	list := []listedRunner{}
	for _, runner := range p.listed {
		list = append(list, runner)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	from := sort.Search(len(list), func(i int) bool { return list[i].ID > r.URL.Query().Get("pageToken") })
	to := min(from+listPageSize, len(list))
	page := struct {
		InstanceList []listedRunner `json:"instanceList"`
		NextToken    *string        `json:"nextToken"`
	}{InstanceList: list[from:to]}
	if to < len(list) {
		page.NextToken = &list[to-1].ID
	}
	_ = json.NewEncoder(w).Encode(page) // the caller may have gone
}

// StartRunner starts a runner of a service in a zone, and lists it. It gives its ID.
func (p *Platform) StartRunner(service, zone string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runners++
	runner := listedRunner{ID: fmt.Sprintf("i-%02d", p.runners), TargetService: service, Zone: zone, Slots: 4, State: "ready"}
	runner.Address = address(p.cluster.hostIP(platformHost-p.runners), apiRunnerPort)
	runner.server = p.cluster.serveHTTP(runner.Address, p.apiRunner(runner.ID))
	p.listed[runner.ID] = runner
	if p.announces {
		p.announcers.Go(func() { p.announce(p.announcing, runner.ID) })
	}
	return runner.ID
}

// apiRunner answers requests as a runner does.
func (p *Platform) apiRunner(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(protocol.HeaderAttemptID)
		w.Header().Set(protocol.HeaderAttemptID, attempt)
		if r.Header.Get(protocol.HeaderTargetRunner) != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request has not come in whole
		}
		p.mu.Lock()
		p.runs[attempt]++
		p.mu.Unlock()
		time.Sleep(apiWorkTime)
		_, _ = fmt.Fprintf(w, "%s %s %d", attempt, r.URL.Path, len(body)) // the caller may have gone
	}
}

// Drain lists a runner as leaving, and ends it after a while.
func (p *Platform) Drain(id string) {
	p.mu.Lock()
	runner := p.listed[id]
	runner.State = "draining"
	p.listed[id] = runner
	p.mu.Unlock()
	if p.announces {
		return // it says so with its next heartbeat, and ends after its sign-off
	}
	time.AfterFunc(3*time.Second, func() { p.Crash(id, 0) })
}

// Crash ends a runner at once; it stays listed for a while.
func (p *Platform) Crash(id string, listedFor time.Duration) {
	p.mu.Lock()
	runner := p.listed[id]
	p.mu.Unlock()
	p.cluster.Network.TakeDown(hostPart(runner.Address))
	_ = runner.server.Close()
	time.AfterFunc(listedFor, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.listed, id)
	})
}

// RunsOf is how often an attempt of a client ran.
func (p *Platform) RunsOf(attempt string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[attempt]
}

// Close ends the platform and all runners that are listed.
func (p *Platform) Close() {
	p.stopAnnouncing()
	p.announcers.Wait()
	_ = p.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, runner := range p.listed {
		_ = runner.server.Close()
	}
}
