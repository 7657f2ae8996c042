package member

import (
	"context"
	"time"

	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// searchResult is the outcome of a search for the leader, or of the rest of one.
type searchResult struct {
	id      int
	stream  *transport.Stream
	addr    string
	leads   bool
	known   []string
	partial bool // some addresses have not answered yet
	late    bool // the outcome of these in the end
}

// probeResult is what the daemon at one address said of itself.
type probeResult struct {
	stream *transport.Stream
	addr   string
	view   View
	ok     bool
}

// onSearchResult takes the outcome of a search.
func (s *Seeker) onSearchResult(result *searchResult) {
	if result.late && s.stream == nil {
		// The rest of an earlier search has found a leader, or none, which ends
		// that search; the one under way is not waited for.
		if result.stream == nil {
			s.failedAt = s.now
			return
		}
		s.searchID++
		result.id = s.searchID
	}
	if result.id != s.searchID {
		if result.stream != nil {
			result.stream.Close()
		}
		return
	}
	s.searching = false
	for _, addr := range result.known {
		s.learn(addr)
	}
	if result.stream == nil || result.stream.Closed() {
		// A stream that has ended counts as none: its end may have been reported
		// before it was the present one, and would not be reported again.
		s.failures++
		if result.stream == nil && !result.partial {
			s.failedAt = s.now
		}
		return
	}
	s.failures = 0
	if result.leads {
		s.leader = result.addr
	}
	s.useStream(result.stream, result.addr)
}

// learn puts an address at the head of the known ones.
func (s *Seeker) learn(addr string) {
	if addr == "" {
		return
	}
	for i, known := range s.known {
		if known == addr {
			copy(s.known[1:i+1], s.known[:i])
			s.known[0] = addr
			return
		}
	}
	s.known = append([]string{addr}, s.known...)
	if len(s.known) > 8 {
		s.known = s.known[:8]
	}
}

// leaderless tells whether it is known that no leader is in reach: none was found
// for longer than an election takes, and a search at all addresses has just
// failed.
func (s *Seeker) leaderless(now time.Time) bool {
	return s.stream == nil && now.Sub(s.lostAt) >= tune.Election && !s.failedAt.IsZero() && now.Sub(s.failedAt) < tune.LookFresh
}

// addresses are those to try, the likeliest first.
func (s *Seeker) addresses() []string {
	var addresses []string
	add := func(addr string) {
		for _, o := range addresses {
			if o == addr {
				return
			}
		}
		if addr != "" {
			addresses = append(addresses, addr)
		}
	}
	add(s.leader)
	for _, addr := range s.known {
		add(addr)
	}
	for _, addr := range s.seeds {
		add(addr)
	}
	if s.homing {
		return sample(addresses, s.failures)
	}
	return addresses
}

// sample gives some of the addresses, others each time: the likeliest always, and
// of the rest as many as tune.SeekPlaces allows. Hundreds of side daemons search
// at once after a loss, and any daemon that they ask names the leader.
func sample(places []string, round int) []string {
	if len(places) <= tune.SeekPlaces {
		return places
	}
	addresses := append([]string(nil), places[:2]...)
	rest := places[2:]
	for i := range tune.SeekPlaces - 2 {
		addresses = append(addresses, rest[(round*(tune.SeekPlaces-2)+i)%len(rest)])
	}
	return addresses
}

// search asks the known addresses concurrently who leads.
func (s *Seeker) search(ctx context.Context, id int) {
	places := s.addresses()
	standby := ""
	if s.homing && s.failures == 0 && s.standby != "" && s.standby != s.address && s.now.After(s.avoiding[s.standby].until) {
		standby = s.standby
	}
	pause := time.Duration(0)
	if s.failures > 0 {
		pause = tune.Seek * time.Duration(min(s.failures, 2))
	}
	rest := tune.LookRest
	if s.failures >= tune.LookHasty {
		rest = tune.LookFresh
	}
	go func() {
		if pause > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
		}
		var result *searchResult
		if standby != "" {
			// The standby is tried first and alone: it takes over for the zone,
			// and the leader is spared a connection from each side daemon.
			if stream, view := s.probeAggregator(ctx, standby); stream != nil {
				result = &searchResult{stream: stream, addr: standby, leads: view.Leads}
			}
		}
		if result == nil {
			result = s.probeAll(ctx, places, rest)
		}
		result.id = id
		select {
		case s.events <- seekerEvent{search: result}:
		case <-ctx.Done():
		}
	}()
}

// probeAll asks all addresses at once. The first leader ends it; without one it
// ends after most if any address has answered: what hangs is likely the leader
// that was lost, and the next one may lead by now. The rest, and a leader among
// them, is reported later.
func (s *Seeker) probeAll(ctx context.Context, places []string, most time.Duration) *searchResult {
	probes := make(chan probeResult, len(places))
	for _, addr := range places {
		go func() {
			stream, view, ok := s.probe(ctx, addr)
			probes <- probeResult{stream, addr, view, ok}
		}()
	}
	result := &searchResult{}
	enough := time.NewTimer(most)
	defer enough.Stop()
	answered := false
	for left := len(places); left > 0; left-- {
		stop := enough.C
		if !answered {
			stop = nil
		}
		select {
		case probe := <-probes:
			answered = answered || probe.ok
			if result.take(probe) {
				go closeRest(probes, left-1)
				return result
			}
		case <-stop:
			result.partial = true
			go s.probeRest(ctx, probes, left)
			return result
		}
	}
	return result
}

// take notes what one daemon said; true if it leads.
func (result *searchResult) take(probe probeResult) bool {
	if !probe.ok {
		return false
	}
	result.known = append(result.known, probe.view.Known...)
	if probe.view.Lead != "" {
		result.known = append(result.known, probe.view.Lead)
	}
	if !probe.view.Leads {
		probe.stream.Close()
		return false
	}
	// The rest need not be waited for: only a leader with a valid lease says so.
	result.stream, result.addr, result.leads = probe.stream, probe.addr, true
	return true
}

// closeRest closes the streams of probes that aren't needed any more.
func closeRest(probes <-chan probeResult, left int) {
	for range left {
		if probe := <-probes; probe.stream != nil {
			probe.stream.Close()
		}
	}
}

// probeRest waits for the addresses that probeAll didn't wait for.
func (s *Seeker) probeRest(ctx context.Context, probes <-chan probeResult, left int) {
	result := &searchResult{late: true}
	for ; left > 0; left-- {
		if result.take(<-probes) {
			go closeRest(probes, left-1)
			break
		}
	}
	select {
	case s.events <- seekerEvent{search: result}:
	case <-ctx.Done():
	}
}

// probe connects to an address and asks who leads; the stream stays open if it
// answers.
func (s *Seeker) probe(ctx context.Context, addr string) (*transport.Stream, View, bool) {
	got := make(chan View, 1)
	stream, err := transport.Dial(ctx, addr, func(e transport.Event) {
		if !e.Closed && e.Frame.Kind == FrameAnswer && e.Frame.ID == 0 {
			var answer Answer
			var view View
			if transport.Decode(e.Frame.Body, &answer) == nil && transport.Decode(answer.Body, &view) == nil {
				select {
				case got <- view:
				default:
				}
			}
			return
		}
		select {
		case s.events <- seekerEvent{link: &e}:
		case <-ctx.Done():
		}
	})
	if err != nil {
		return nil, View{}, false
	}
	stream.Send(transport.Frame{Kind: FrameAsk, Body: transport.Encode(Ask{Kind: AskLead, Body: []byte(s.self)})})
	timer := time.NewTimer(tune.Vitals)
	defer timer.Stop()
	select {
	case view := <-got:
		return stream, view, true
	case <-stream.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	stream.Close()
	return nil, View{}, false
}
