package discovery

import (
	"cmp"
	"context"
	"slices"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

const (
	// searchFanout is the largest number of addresses that a client with PreferAggregator probes in one
	// search.
	searchFanout = 4
	// searchInterval is the pause after the first failed search; it is twice as long after further
	// ones.
	searchInterval = 80 * time.Millisecond
	// shortStragglerTimeout is how long a search waits for unresponsive daemons if others have answered.
	shortStragglerTimeout = 150 * time.Millisecond
	// maxShortSearches is the number of consecutive failed searches after which a search waits for
	// failedSearchTTL instead of shortStragglerTimeout; by then an ordinary election has
	// ended.
	maxShortSearches = 6
	// failedSearchTTL is how long the result of a search that found no leader stays valid; it is longer
	// than a search and the pause after it.
	failedSearchTTL = 1500 * time.Millisecond
)

const (
	// maxKnownServers is the number of server addresses that are remembered.
	maxKnownServers = 8
	// probeFrameID is the frame ID of a probe; the frame IDs of callers' requests start at 1.
	probeFrameID = 0
)

// searchResult is the outcome of a search for the leader, or of its late probes.
type searchResult struct {
	id           int
	stream       *transport.Stream
	addr         string
	isLeader     bool
	knownServers []string
	partial      bool // the search ended before all addresses answered; a late result follows
	late         bool // holds the answers that a partial result did not wait for
}

// probeResult is the answer of the daemon at one address; ok is false if there was none.
type probeResult struct {
	stream *transport.Stream
	addr   string
	info   rpc.LeaderInfo
	ok     bool
}

// onSearchResult handles the outcome of a search.
func (c *Client) onSearchResult(result *searchResult) {
	if result.late && c.stream == nil {
		// The late probes of an earlier search are complete. If they found a leader,
		// it is used without waiting for the search in progress; otherwise the earlier
		// search has failed.
		if result.stream == nil {
			c.searchFailedAt = c.now
			return
		}
		c.searchID++
		result.id = c.searchID
	}
	if result.id != c.searchID {
		if result.stream != nil {
			result.stream.Close()
		}
		return
	}
	c.searching = false
	for _, addr := range result.knownServers {
		c.addServer(addr)
	}
	if result.stream == nil || result.stream.Closed() {
		// A closed stream counts as no stream: its end may have been reported before it
		// became the current one, and would not be reported again.
		c.failedSearches++
		if result.stream == nil && !result.partial {
			c.searchFailedAt = c.now
		}
		return
	}
	c.failedSearches = 0
	if result.isLeader {
		c.leader = result.addr
	}
	c.useStream(result.stream, result.addr)
}

// addServer moves or adds an address to the front of knownServers.
func (c *Client) addServer(addr string) {
	if addr == "" {
		return
	}
	if i := slices.Index(c.knownServers, addr); i >= 0 {
		copy(c.knownServers[1:i+1], c.knownServers[:i])
		c.knownServers[0] = addr
		return
	}
	c.knownServers = append([]string{addr}, c.knownServers...)
	if len(c.knownServers) > maxKnownServers {
		c.knownServers = c.knownServers[:maxKnownServers]
	}
}

// leaderless reports whether the client knows that no leader is reachable: it has been disconnected
// for at least the expected time of an election, and a complete search has failed recently.
func (c *Client) leaderless(now time.Time) bool {
	disconnected := c.stream == nil && now.Sub(c.disconnectedAt) >= timing.ExpectedElectionTime
	searchFailed := !c.searchFailedAt.IsZero() && now.Sub(c.searchFailedAt) < failedSearchTTL
	return disconnected && searchFailed
}

// candidateAddresses returns the addresses to probe, the most likely leader first.
func (c *Client) candidateAddresses() []string {
	var addresses []string
	add := func(addr string) {
		if addr != "" && !slices.Contains(addresses, addr) {
			addresses = append(addresses, addr)
		}
	}
	add(c.leader)
	for _, addr := range c.knownServers {
		add(addr)
	}
	for _, addr := range c.seeds {
		add(addr)
	}
	if c.options.PreferAggregator {
		return sample(addresses, c.failedSearches)
	}
	return addresses
}

// sample returns at most searchFanout addresses: the first two, and a part of the rest that changes
// with the round. It limits the load when hundreds of agents search at once after the leader is
// lost; any daemon that they probe names the leader.
func sample(addresses []string, round int) []string {
	if len(addresses) <= searchFanout {
		return addresses
	}
	sampled := append([]string(nil), addresses[:2]...)
	rest := addresses[2:]
	for i := range searchFanout - 2 {
		sampled = append(sampled, rest[(round*(searchFanout-2)+i)%len(rest)])
	}
	return sampled
}

// searchPlan describes one search for the leader.
type searchPlan struct {
	id        int
	pause     time.Duration // before the search begins
	standby   string        // probed first and alone; empty if there is none
	addresses []string
	// stragglerTimeout is the time from the start of the probes after which the search stops waiting
	// if any address has answered.
	stragglerTimeout time.Duration
}

// planSearch plans the next search from the outcomes of the previous ones.
func (c *Client) planSearch(id int) searchPlan {
	plan := searchPlan{id: id, addresses: c.candidateAddresses(), stragglerTimeout: shortStragglerTimeout}
	hasStandby := c.standby != "" && c.standby != c.address && c.now.After(c.backoffs[c.standby].until)
	if c.options.PreferAggregator && c.failedSearches == 0 && hasStandby {
		plan.standby = c.standby
	}
	if c.failedSearches > 0 {
		plan.pause = searchInterval * time.Duration(min(c.failedSearches, 2))
	}
	if c.failedSearches >= maxShortSearches {
		plan.stragglerTimeout = failedSearchTTL
	}
	return plan
}

// search performs a search and reports its outcome to the loop.
func (c *Client) search(ctx context.Context, plan searchPlan) {
	if plan.pause > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(plan.pause):
		}
	}
	var result *searchResult
	if plan.standby != "" {
		// The standby is probed first and alone: it takes over for the zone, which saves
		// the leader a connection from each agent.
		if stream, info := c.probeAggregator(ctx, plan.standby); stream != nil {
			result = &searchResult{stream: stream, addr: plan.standby, isLeader: info.IsLeader}
		}
	}
	if result == nil {
		result = c.probeAll(ctx, plan.addresses, plan.stragglerTimeout)
	}
	result.id = plan.id
	select {
	case c.events <- clientEvent{search: result}:
	case <-ctx.Done():
	}
}

// probeAll probes all addresses concurrently. It returns as soon as one of them is the leader.
// Without a leader it returns after stragglerTimeout if any address has answered: the unresponsive one is
// probably the lost leader, and a new leader may have been elected since. The remaining probes are
// reported later as a late result.
func (c *Client) probeAll(ctx context.Context, addresses []string, stragglerTimeout time.Duration) *searchResult {
	probes := make(chan probeResult, len(addresses))
	for _, addr := range addresses {
		go func() {
			stream, info, ok := c.probe(ctx, addr)
			probes <- probeResult{stream, addr, info, ok}
		}()
	}
	result := &searchResult{}
	timer := time.NewTimer(stragglerTimeout)
	defer timer.Stop()
	answered := false
	for remaining := len(addresses); remaining > 0; remaining-- {
		expired := timer.C
		if !answered {
			expired = nil
		}
		select {
		case probe := <-probes:
			answered = answered || probe.ok
			if result.add(probe) {
				go closeRest(probes, remaining-1)
				return result
			}
		case <-expired:
			result.partial = true
			go c.probeRest(ctx, probes, remaining)
			return result
		}
	}
	return result
}

// add records the answer of one daemon and reports whether that daemon is the leader.
func (r *searchResult) add(probe probeResult) bool {
	if !probe.ok {
		return false
	}
	r.knownServers = append(r.knownServers, probe.info.KnownServers...)
	if probe.info.Leader != "" {
		r.knownServers = append(r.knownServers, probe.info.Leader)
	}
	if !probe.info.IsLeader {
		probe.stream.Close()
		return false
	}
	// The search can end here: a daemon reports itself as leader only while it has a valid
	// lease, so there can be no other leader.
	r.stream, r.addr, r.isLeader = probe.stream, probe.addr, true
	return true
}

// closeRest closes the streams of the remaining probes, which are not needed.
func closeRest(probes <-chan probeResult, remaining int) {
	for range remaining {
		if probe := <-probes; probe.stream != nil {
			probe.stream.Close()
		}
	}
}

// probeRest waits for the probes that probeAll did not wait for and reports a late result.
func (c *Client) probeRest(ctx context.Context, probes <-chan probeResult, remaining int) {
	result := &searchResult{late: true}
	for ; remaining > 0; remaining-- {
		if result.add(<-probes) {
			go closeRest(probes, remaining-1)
			break
		}
	}
	select {
	case c.events <- clientEvent{search: result}:
	case <-ctx.Done():
	}
}

// probe connects to an address and requests its LeaderInfo. The stream stays open if the daemon
// answers in time.
func (c *Client) probe(ctx context.Context, addr string) (*transport.Stream, rpc.LeaderInfo, bool) {
	infos := make(chan rpc.LeaderInfo, 1)
	stream, err := transport.Dial(ctx, addr, func(event transport.Event) {
		if !event.Closed && event.Frame.Kind == rpc.FrameResponse && event.Frame.ID == probeFrameID {
			var response rpc.Response
			var info rpc.LeaderInfo
			if transport.Decode(event.Frame.Body, &response) == nil && transport.Decode(response.Body, &info) == nil {
				select {
				case infos <- info:
				default:
				}
			}
			return
		}
		select {
		case c.events <- clientEvent{frame: &event}:
		case <-ctx.Done():
		}
	})
	if err != nil {
		return nil, rpc.LeaderInfo{}, false
	}
	request := rpc.Request{Kind: rpc.KindLeader, Body: []byte(c.options.SelfAddress)}
	stream.Send(transport.Frame{Kind: rpc.FrameRequest, ID: probeFrameID, Body: transport.Encode(request)})
	timer := time.NewTimer(cmp.Or(c.options.ProbeTimeout, defaultProbeTimeout))
	defer timer.Stop()
	select {
	case info := <-infos:
		return stream, info, true
	case <-stream.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	stream.Close()
	return nil, rpc.LeaderInfo{}, false
}
