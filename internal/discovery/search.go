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
	// fanout is the number of daemons that an agent asks in one search for the leader.
	fanout = 4
	// interval is the time between two searches.
	interval = 80 * time.Millisecond
	// hangingDaemonWait is how long a search waits for daemons that hang once others have answered.
	hangingDaemonWait = 150 * time.Millisecond
	// maxShortDiscoveryRounds is the number of consecutive searches that wait no longer than
	// hangingDaemonWait; an election is over by then.
	maxShortDiscoveryRounds = 6
	// noLeaderFindingTTL is how long the result of a search that found no leader stays valid; it
	// outlasts a search and the pause after it.
	noLeaderFindingTTL = 1500 * time.Millisecond
)

const (
	// maxKnownServers is how many servers' addresses are kept.
	maxKnownServers = 8
	// probeFrameID is the frame ID of a probe's request; those of callers count
	// from 1.
	probeFrameID = 0
)

// searchResult is the outcome of a search for the leader, or of the rest of one.
type searchResult struct {
	id           int
	stream       *transport.Stream
	addr         string
	isLeader     bool
	knownServers []string
	partial      bool // some addresses have not answered yet; a late result follows
	late         bool // the result of the addresses that a partial one did not wait for
}

// probeResult is what the daemon at one address said of itself.
type probeResult struct {
	stream *transport.Stream
	addr   string
	info   rpc.LeaderInfo
	ok     bool
}

// onSearchResult takes the outcome of a search.
func (c *Client) onSearchResult(result *searchResult) {
	if result.late && c.stream == nil {
		// The rest of an earlier search has found a leader, or none, which ends
		// that search; the one under way is not waited for.
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
		// A stream that has ended counts as none: its end may have been reported
		// before it was the present one, and would not be reported again.
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

// addServer puts an address at the head of the known ones.
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

// leaderless reports whether it is known that no leader is in reach: none was found
// for longer than an election takes, and a search at all addresses has just
// failed.
func (c *Client) leaderless(now time.Time) bool {
	disconnected := c.stream == nil && now.Sub(c.disconnectedAt) >= timing.ExpectedElectionTime
	searchFailed := !c.searchFailedAt.IsZero() && now.Sub(c.searchFailedAt) < noLeaderFindingTTL
	return disconnected && searchFailed
}

// candidateAddresses are the addresses to try, the likeliest first.
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

// sample returns some of the addresses, others each time: the likeliest always, and
// of the rest as many as fanout allows. Hundreds of agents search at
// once after a loss, and any daemon that they ask names the leader.
func sample(addresses []string, round int) []string {
	if len(addresses) <= fanout {
		return addresses
	}
	sampled := append([]string(nil), addresses[:2]...)
	rest := addresses[2:]
	for i := range fanout - 2 {
		sampled = append(sampled, rest[(round*(fanout-2)+i)%len(rest)])
	}
	return sampled
}

// searchPlan is one search for the leader.
type searchPlan struct {
	id        int
	pause     time.Duration // before it begins
	standby   string        // tried first and alone; empty: none
	addresses []string
	patience  time.Duration // how long addresses without an answer are waited for
}

// planSearch chooses what a search tries, by what became of the last ones.
func (c *Client) planSearch(id int) searchPlan {
	plan := searchPlan{id: id, addresses: c.candidateAddresses(), patience: hangingDaemonWait}
	hasStandby := c.standby != "" && c.standby != c.address && c.now.After(c.backoffs[c.standby].until)
	if c.options.PreferAggregator && c.failedSearches == 0 && hasStandby {
		plan.standby = c.standby
	}
	if c.failedSearches > 0 {
		plan.pause = interval * time.Duration(min(c.failedSearches, 2))
	}
	if c.failedSearches >= maxShortDiscoveryRounds {
		plan.patience = noLeaderFindingTTL
	}
	return plan
}

// search carries out a search and reports its outcome to the loop.
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
		// The standby is tried first and alone: it takes over for the zone, and
		// the leader is spared a connection from each agent.
		if stream, info := c.probeAggregator(ctx, plan.standby); stream != nil {
			result = &searchResult{stream: stream, addr: plan.standby, isLeader: info.IsLeader}
		}
	}
	if result == nil {
		result = c.probeAll(ctx, plan.addresses, plan.patience)
	}
	result.id = plan.id
	select {
	case c.events <- clientEvent{search: result}:
	case <-ctx.Done():
	}
}

// probeAll asks all addresses at once. The first leader ends it; without one it
// ends after patience if any address has answered: what hangs is likely the leader
// that was lost, and the next one may lead by now. The rest, and a leader among
// them, is reported later.
func (c *Client) probeAll(ctx context.Context, addresses []string, patience time.Duration) *searchResult {
	probes := make(chan probeResult, len(addresses))
	for _, addr := range addresses {
		go func() {
			stream, info, ok := c.probe(ctx, addr)
			probes <- probeResult{stream, addr, info, ok}
		}()
	}
	result := &searchResult{}
	timer := time.NewTimer(patience)
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

// add notes what one daemon said; true if it leads.
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
	// The search can end here: a daemon says that it leads only while it has a valid
	// lease, so no other can lead now.
	r.stream, r.addr, r.isLeader = probe.stream, probe.addr, true
	return true
}

// closeRest closes the streams of the remaining probes, which aren't needed.
func closeRest(probes <-chan probeResult, remaining int) {
	for range remaining {
		if probe := <-probes; probe.stream != nil {
			probe.stream.Close()
		}
	}
}

// probeRest waits for the addresses that probeAll didn't wait for.
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

// probe connects to an address and asks who leads; the stream stays open if it
// answers.
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
	timer := time.NewTimer(cmp.Or(c.options.ProbeTimeout, leaderProbeInterval))
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
