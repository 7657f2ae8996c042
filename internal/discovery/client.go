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

// defaultProbeTimeout is how long a probed daemon may take to answer unless Options.ProbeTimeout is set.
const defaultProbeTimeout = 250 * time.Millisecond

// eventQueueLength is the capacity of the loop's event queue.
const eventQueueLength = 1024

// Options configure a Client. The callbacks are called from its event loop; each may be nil.
type Options struct {
	// SelfAddress is the address that this daemon announces to the daemons it probes; empty to
	// announce none.
	SelfAddress string
	// Seeds are the addresses of daemons that each search for the leader may probe, after the servers
	// named in earlier answers.
	Seeds []string
	// PreferAggregator makes the client connect to the aggregator of its zone, which responses
	// name, and fall back to the leader when the aggregator fails.
	PreferAggregator bool
	// AttemptTimeout is how long one attempt of a request waits for the leader; 0 means
	// timing.RequestAttemptTimeout.
	AttemptTimeout time.Duration
	// ProbeTimeout is how long a probed daemon may take to answer; 0 means defaultProbeTimeout.
	ProbeTimeout time.Duration
	// OnAssignment is called with each assignment that the leader sends.
	OnAssignment func(rpc.Assignment)
	// OnConfigVersion is called with the configuration version that a response carries.
	OnConfigVersion func(version int64)
	// OnConnected is called after each new connection is established.
	OnConnected func()
}

// Client finds the leader, keeps one connection to it and sends requests on it. Its state is
// owned by the event loop (Run), except where a field says otherwise.
type Client struct {
	options Options // Seeds holds the initial seeds; see seeds for the current ones
	events  chan clientEvent
	done    chan struct{} // closed when the loop has returned

	now             time.Time
	stream          *transport.Stream // to the leader or to the zone's aggregator; nil while disconnected
	address         string            // of the peer of the current or, if disconnected, the last stream
	lastFrameAt     time.Time         // when the last frame arrived, or when the stream became the current one
	pending         map[uint64]*pendingRequest
	lastRequestID   uint64 // ID of the newest request
	largestResponse int    // size in bytes of the largest response so far, which is a whole configuration

	seeds          []string
	knownServers   []string  // server addresses, the most recently recorded first
	leader         string    // last known leader
	disconnectedAt time.Time // since when there has been no stream
	searchFailedAt time.Time // end of the last complete search that found no leader; zero once connected
	searching      bool
	searchID       int
	failedSearches int // consecutive searches that found no usable stream
	// currentAddress is the address of the stream's peer, for readers outside the loop; empty while
	// there is no stream.
	currentAddress atomic.Value

	// The fields below are used only if options.PreferAggregator is set.
	standby   string             // the zone's standby aggregator
	backoffs  map[string]backoff // by address
	switching bool               // a connection to an aggregator is being established
}

// clientEvent is an input of the client's event loop. Exactly one of its fields is set.
type clientEvent struct {
	frame        *transport.Event
	request      *pendingRequest
	search       *searchResult
	seeds        []string
	knownServers chan []string
	server       string
	switched     *switchResult
}

// NewClient returns a client that handles requests once Run is called.
func NewClient(options Options) *Client {
	return &Client{
		options:  options,
		seeds:    options.Seeds,
		events:   make(chan clientEvent, eventQueueLength),
		done:     make(chan struct{}),
		pending:  map[uint64]*pendingRequest{},
		backoffs: map[string]backoff{},
	}
}

// CurrentAddress returns the address of the daemon that the client is connected to, the leader or
// an aggregator, and an empty string while it is disconnected. It is safe for concurrent use.
func (c *Client) CurrentAddress() string {
	addr, _ := c.currentAddress.Load().(string)
	return addr
}

// SetSeeds replaces the seed addresses. It is safe for concurrent use.
func (c *Client) SetSeeds(seeds []string) { c.post(clientEvent{seeds: seeds}) }

// AddServer records the address of a server. It is safe for concurrent use.
func (c *Client) AddServer(addr string) { c.post(clientEvent{server: addr}) }

// KnownServers returns the known server addresses, most recent first, and the last known leader, or nil
// if the loop has returned. It waits for the loop to answer and is safe for concurrent use.
func (c *Client) KnownServers() []string {
	servers := make(chan []string, 1)
	c.post(clientEvent{knownServers: servers})
	select {
	case known := <-servers:
		return known
	case <-c.done:
		return nil
	}
}

// post queues an event for the loop; it does nothing once the loop has returned.
func (c *Client) post(event clientEvent) {
	select {
	case c.events <- event:
	case <-c.done:
	}
}

// Introduce announces this server's address to the seeds by probing them, without waiting for
// answers. This is needed because seeds without a disk know no servers after all daemons restart.
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

// Run runs the client's event loop until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer close(c.done)
	c.disconnectedAt = time.Now()
	daemon.Loop(ctx, c.events,
		func(event clientEvent) { c.handle(ctx, event) },
		func(now time.Time) time.Duration { return c.tick(ctx, now) })
}

// handle processes one event.
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

// disconnect closes the connection. Requests in flight are resent on the next one.
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

// onFrame handles a frame of the current stream or its end; events of other streams are ignored.
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

// useStream makes a stream the current one and resends all pending requests on it.
func (c *Client) useStream(stream *transport.Stream, addr string) {
	old := c.stream
	c.stream, c.address, c.lastFrameAt, c.searchFailedAt = stream, addr, c.now, time.Time{}
	c.currentAddress.Store(addr)
	if old != nil {
		old.Close()
	}
	// Requests are resent in the order in which they were made: of two requests about the same
	// object the later one must win, even if a process was restarted in between.
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		c.pending[id].sentAt = time.Time{}
		c.send(id, c.pending[id])
	}
	if c.options.OnConnected != nil {
		c.options.OnConnected()
	}
}

// tick fails expired requests, disconnects from an unresponsive leader and starts a search for
// the leader if there is no connection. It returns the delay until the next call, or 0 if none is
// needed.
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
		// A frozen or partitioned leader does not answer, and another server may have been elected.
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
