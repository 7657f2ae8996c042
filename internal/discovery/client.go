package discovery

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/daemon"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// Client finds the leader, keeps one connection to it and carries requests. All
// its state belongs to its loop (Run).
type Client struct {
	log         log.Logger
	events      chan clientEvent
	selfAddress string // this daemon's address, if others may learn it

	onAssignment    func(rpc.Assignment)
	onConfigVersion func(int64)
	onConnected     func()

	now             time.Time
	stream          *transport.Stream // to the leader, or to the zone's aggregator
	address         string            // where the stream goes, or the last one went
	lastFrameAt     time.Time         // the last frame of the stream
	pending         map[uint64]*pendingRequest
	lastRequestID   uint64 // the number of the newest request
	largestResponse int    // bytes of the largest answer, which is a whole configuration

	seeds          []string
	knownServers   []string  // core daemons heard of, the newest first
	leader         string    // who led when last heard of
	disconnectedAt time.Time // since when there is no stream
	searchFailedAt time.Time // the last search at all addresses that found none; zero once one is found
	searching      bool
	searchID       int
	// currentAddress is the address of the stream, for readers outside the loop;
	// empty while there is none.
	currentAddress atomic.Value
	failedSearches int // searches in a row that found none

	// prefersAggregator: it connects to the aggregator that the answers name for its zone.
	prefersAggregator bool
	standby           string
	backoffs          map[string]backoff
	switching         bool
}

// clientEvent is an input of the seeker's loop; one of its fields is set.
type clientEvent struct {
	frame        *transport.Event
	request      *pendingRequest
	search       *searchResult
	seeds        []string
	knownServers chan []string
	server       string
	switched     *switchResult
}

// NewClient builds a seeker; push gets orders, news the newest version of the
// configuration, attached is called after each new connection to a leader. Each
// may be nil.
func NewClient(logger log.Logger, selfAddress string, seeds []string, onAssignment func(rpc.Assignment), onConfigVersion func(int64), onConnected func()) *Client {
	return &Client{log: logger, selfAddress: selfAddress, seeds: seeds, onAssignment: onAssignment, onConfigVersion: onConfigVersion, onConnected: onConnected,
		events: make(chan clientEvent, 1024), pending: map[uint64]*pendingRequest{}}
}

// PreferAggregator makes the seeker connect to the aggregator of its zone, as answers name
// it, and back to the leader when that one fails. It is called before Run.
func (c *Client) PreferAggregator() { c.prefersAggregator, c.backoffs = true, map[string]backoff{} }

// CurrentAddress is the inner address of the daemon that requests go to now: the
// leader, where the seeker isn't homing; empty while none is known. It is safe
// for concurrent use.
func (c *Client) CurrentAddress() string {
	addr, _ := c.currentAddress.Load().(string)
	return addr
}

// SetSeeds replaces the addresses of the seeds.
func (c *Client) SetSeeds(seeds []string) { c.events <- clientEvent{seeds: seeds} }

// AddServer takes note of a core daemon's address.
func (c *Client) AddServer(addr string) { c.events <- clientEvent{server: addr} }

// Introduce tells the seeds that this core daemon is here. Seeds may hold no
// state and know nobody after all were started anew.
func (c *Client) Introduce(ctx context.Context, seeds []string) {
	for _, addr := range seeds {
		if addr == c.selfAddress {
			continue
		}
		go func() {
			if stream, _, ok := c.probe(ctx, addr); ok {
				stream.Close()
			}
		}()
	}
}

// Run is the seeker's loop.
func (c *Client) Run(ctx context.Context) error {
	c.disconnectedAt = time.Now()
	daemon.Loop(ctx, c.events, func(event clientEvent) { c.handle(ctx, event) }, func(now time.Time) time.Duration { return c.tick(ctx, now) })
	return nil
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
		addresses := append([]string(nil), c.knownServers...)
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
		if transport.Decode(event.Frame.Body, &assignments) == nil && c.onAssignment != nil {
			for _, assignment := range assignments {
				c.onAssignment(assignment)
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
	ids := make([]uint64, 0, len(c.pending))
	for id := range c.pending {
		ids = append(ids, id)
	}
	// They are sent in the order in which they were made: of two requests about
	// one thing the later must win, also if a process was restarted in between.
	slices.Sort(ids)
	for _, id := range ids {
		c.pending[id].sentAt = time.Time{}
		c.send(id, c.pending[id])
	}
	if c.onConnected != nil {
		c.onConnected()
	}
}

// tick gives up what is due, leaves a silent leader and searches for another;
// it returns when to come back.
func (c *Client) tick(ctx context.Context, now time.Time) time.Duration {
	c.now = now
	wake := time.Duration(0)
	wakeIn := func(delay time.Duration) {
		delay = max(delay, time.Millisecond)
		if wake == 0 || delay < wake {
			wake = delay
		}
	}
	if remaining := tuning.ExpectedElectionTime - now.Sub(c.disconnectedAt); c.stream == nil && remaining > 0 {
		wakeIn(remaining)
	}
	c.expireRequests(wakeIn)
	if c.leaderSilent(wakeIn) {
		// A frozen or cut-off leader answers nothing, and another may lead by
		// now.
		c.backOff(c.address)
		c.disconnect()
	}
	if c.stream == nil && !c.searching {
		c.searching = true
		c.searchID++
		c.search(ctx, c.searchID)
	}
	return wake
}

// KnownServers are the addresses of core daemons heard of lately.
func (c *Client) KnownServers() []string {
	servers := make(chan []string, 1)
	c.events <- clientEvent{knownServers: servers}
	return <-servers
}
