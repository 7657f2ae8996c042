package discovery

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"tealpond/internal/daemon"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// leaderProbeInterval is the silence of the leader's connection after which it is probed.
const leaderProbeInterval = 250 * time.Millisecond

// eventQueueLength is how many inputs may wait for the loop.
const eventQueueLength = 1024

// Options are what a Client is built from. The functions are called in its loop;
// each may be nil.
type Options struct {
	// SelfAddress is this daemon's address for other daemons; empty if they need
	// not know it.
	SelfAddress string
	// Seeds are addresses of daemons that are asked when no other is known.
	Seeds []string
	// PreferAggregator connects to the aggregator of the zone, as responses name
	// it, and back to the leader when that one fails.
	PreferAggregator bool
	// AttemptTimeout is how long one attempt of a request waits for the leader;
	// 0: timing.RequestAttemptTimeout.
	AttemptTimeout time.Duration
	// ProbeTimeout is how long a daemon that is asked who leads may take to answer;
	// 0: leaderProbeInterval.
	ProbeTimeout time.Duration
	// OnAssignment gets each assignment that the leader sends.
	OnAssignment func(rpc.Assignment)
	// OnConfigVersion gets the version of the configuration that a response names.
	OnConfigVersion func(version int64)
	// OnConnected is called after each new connection.
	OnConnected func()
}

// Client finds the leader, keeps one connection to it and carries requests. All
// its state belongs to its loop (Run).
type Client struct {
	options Options // Seeds as they were at first; see seeds
	events  chan clientEvent
	ended   chan struct{} // closed when the loop has ended

	now             time.Time
	stream          *transport.Stream // to the leader, or to the zone's aggregator
	address         string            // where the stream goes, or the last one went
	lastFrameAt     time.Time         // the last frame of the stream
	pending         map[uint64]*pendingRequest
	lastRequestID   uint64 // the number of the newest request
	largestResponse int    // bytes of the largest response, which is a whole configuration

	seeds          []string
	knownServers   []string  // servers heard of, the newest first
	leader         string    // who led when last heard of
	disconnectedAt time.Time // since when there is no stream
	searchFailedAt time.Time // the last search at all addresses that found none; zero once one is found
	searching      bool
	searchID       int
	failedSearches int // searches in a row that found none
	// currentAddress is the address of the stream, for readers outside the loop;
	// empty while there is none.
	currentAddress atomic.Value

	// These are used only if options.PreferAggregator is set.
	standby   string // the aggregator that takes over for the zone
	backoffs  map[string]backoff
	switching bool // a connection to an aggregator is being made
}

// clientEvent is an input of the client's loop; one of its fields is set.
type clientEvent struct {
	frame        *transport.Event
	request      *pendingRequest
	search       *searchResult
	seeds        []string
	knownServers chan []string
	server       string
	switched     *switchResult
}

// NewClient builds a client; it works once Run is called.
func NewClient(options Options) *Client {
	return &Client{
		options:  options,
		seeds:    options.Seeds,
		events:   make(chan clientEvent, eventQueueLength),
		ended:    make(chan struct{}),
		pending:  map[uint64]*pendingRequest{},
		backoffs: map[string]backoff{},
	}
}

// CurrentAddress is the address of the daemon that requests go to now: the
// leader, or the aggregator if that is preferred; empty while none is known. It is
// safe for concurrent use.
func (c *Client) CurrentAddress() string {
	addr, _ := c.currentAddress.Load().(string)
	return addr
}

// SetSeeds replaces the addresses of the seeds. It is safe for concurrent use.
func (c *Client) SetSeeds(seeds []string) { c.post(clientEvent{seeds: seeds}) }

// AddServer records a server's address. It is safe for concurrent use.
func (c *Client) AddServer(addr string) { c.post(clientEvent{server: addr}) }

// KnownServers are the addresses of servers heard of lately; none once the loop has
// ended. It is safe for concurrent use, and waits for the loop.
func (c *Client) KnownServers() []string {
	servers := make(chan []string, 1)
	c.post(clientEvent{knownServers: servers})
	select {
	case known := <-servers:
		return known
	case <-c.ended:
		return nil
	}
}

// post hands the loop an event; it does nothing once the loop has ended.
func (c *Client) post(event clientEvent) {
	select {
	case c.events <- event:
	case <-c.ended:
	}
}

// Introduce makes this server known to the seeds: a seed without a disk knows no
// server after all daemons were restarted. It does not wait for them.
func (c *Client) Introduce(ctx context.Context, seeds []string) {
	for _, addr := range seeds {
		if addr == c.options.SelfAddress {
			continue
		}
		go func() {
			if stream, _, ok := c.probe(ctx, addr); ok {
				stream.Close()
			}
		}()
	}
}

// Run is the client's loop; it returns when ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer close(c.ended)
	c.disconnectedAt = time.Now()
	daemon.Loop(ctx, c.events,
		func(event clientEvent) { c.handle(ctx, event) },
		func(now time.Time) time.Duration { return c.tick(ctx, now) })
}

// handle takes one event.
func (c *Client) handle(ctx context.Context, event clientEvent) {
	c.now = time.Now()
	switch {
	case event.request != nil:
		c.lastRequestID++
		c.pending[c.lastRequestID] = event.request
		c.send(c.lastRequestID, event.request)
	case event.frame != nil:
		c.onFrame(ctx, event.frame)
	case event.search != nil:
		c.onSearchResult(event.search)
	case event.switched != nil:
		c.onSwitchResult(event.switched)
	case event.server != "":
		c.addServer(event.server)
	case event.knownServers != nil:
		addresses := slices.Clone(c.knownServers)
		if c.leader != "" {
			addresses = append(addresses, c.leader)
		}
		event.knownServers <- addresses
	case event.seeds != nil:
		c.seeds = event.seeds
	}
}

// disconnect gives up the connection; requests under way are sent again on the
// next one.
func (c *Client) disconnect() {
	if c.stream != nil {
		c.stream.Close()
		c.stream, c.disconnectedAt = nil, c.now
		c.currentAddress.Store("")
	}
	for _, pending := range c.pending {
		pending.sentAt = time.Time{}
	}
}

// onFrame takes a frame of the connection, or its end.
func (c *Client) onFrame(ctx context.Context, event *transport.Event) {
	if event.Stream != c.stream {
		return
	}
	if event.Closed {
		c.backOff(c.address)
		c.disconnect()
		return
	}
	c.lastFrameAt = c.now
	switch event.Frame.Kind {
	case rpc.FrameResponse:
		var response rpc.Response
		if transport.Decode(event.Frame.Body, &response) != nil {
			c.disconnect()
			return
		}
		c.largestResponse = max(c.largestResponse, len(response.Body))
		c.onResponse(ctx, event.Frame.ID, response)
	case rpc.FrameAssignments:
		var assignments []rpc.Assignment
		if transport.Decode(event.Frame.Body, &assignments) == nil && c.options.OnAssignment != nil {
			for _, assignment := range assignments {
				c.options.OnAssignment(assignment)
			}
		}
	}
}

// useStream makes a stream the present one and sends all pending requests on it.
func (c *Client) useStream(stream *transport.Stream, addr string) {
	old := c.stream
	c.stream, c.address, c.lastFrameAt, c.searchFailedAt = stream, addr, c.now, time.Time{}
	c.currentAddress.Store(addr)
	if old != nil {
		old.Close()
	}
	// They are sent in the order in which they were made: of two requests about
	// one thing the later must win, also if a process was restarted in between.
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		c.pending[id].sentAt = time.Time{}
		c.send(id, c.pending[id])
	}
	if c.options.OnConnected != nil {
		c.options.OnConnected()
	}
}

// tick gives up the requests that are due, leaves a silent leader and searches for
// another; it returns after which time it must be called again, 0 for never.
func (c *Client) tick(ctx context.Context, now time.Time) time.Duration {
	c.now = now
	wake := time.Duration(0)
	wakeIn := func(delay time.Duration) {
		delay = max(delay, time.Millisecond)
		if wake == 0 || delay < wake {
			wake = delay
		}
	}
	if remaining := timing.ExpectedElectionTime - now.Sub(c.disconnectedAt); c.stream == nil && remaining > 0 {
		wakeIn(remaining)
	}
	c.expireRequests(wakeIn)
	if c.leaderUnresponsive(wakeIn) {
		// A frozen or cut-off leader answers nothing, and another may lead by
		// now.
		c.backOff(c.address)
		c.disconnect()
	}
	if c.stream == nil && !c.searching {
		c.searching = true
		c.searchID++
		go c.search(ctx, c.planSearch(c.searchID))
	}
	return wake
}
