package member

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/kernel"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// Seeker finds the leader, keeps one connection to it and carries requests. All
// its state belongs to its loop (Run).
type Seeker struct {
	log    log.Logger
	events chan seekerEvent
	self   string // this daemon's address, if others may learn it

	onOrder     func(Order)
	onVersion   func(int64)
	onConnected func()

	now           time.Time
	stream        *transport.Stream // to the leader, or to the zone's aggregator
	address       string            // where the stream goes, or the last one went
	heardAt       time.Time         // the last frame of the stream
	pending       map[uint64]*pendingAsk
	lastID        uint64 // the number of the newest request
	largestAnswer int    // bytes of the largest answer, which is a whole configuration

	seeds     []string
	known     []string  // core daemons heard of, the newest first
	leader    string    // who led when last heard of
	lostAt    time.Time // since when there is no stream
	failedAt  time.Time // the last search at all addresses that found none; zero once one is found
	searching bool
	searchID  int
	// currentAddress is the address of the stream, for readers outside the loop;
	// empty while there is none.
	currentAddress atomic.Value
	failures       int // searches in a row that found none

	// homing: it connects to the aggregator that the answers name for its zone.
	homing    bool
	standby   string
	avoiding  map[string]avoided
	switching bool
}

// seekerEvent is an input of the seeker's loop; one of its fields is set.
type seekerEvent struct {
	link     *transport.Event
	ask      *pendingAsk
	search   *searchResult
	seeds    []string
	known    chan []string
	learn    string
	switched *switchResult
}

// NewSeeker builds a seeker; push gets orders, news the newest version of the
// configuration, attached is called after each new connection to a leader. Each
// may be nil.
func NewSeeker(logger log.Logger, self string, seeds []string, push func(Order), news func(int64), attached func()) *Seeker {
	return &Seeker{log: logger, self: self, seeds: seeds, onOrder: push, onVersion: news, onConnected: attached,
		events: make(chan seekerEvent, 1024), pending: map[uint64]*pendingAsk{}}
}

// Homing makes the seeker connect to the aggregator of its zone, as answers name
// it, and back to the leader when that one fails. It is called before Run.
func (s *Seeker) Homing() { s.homing, s.avoiding = true, map[string]avoided{} }

// Speaking is the inner address of the daemon that requests go to now: the
// leader, where the seeker isn't homing; empty while none is known. It is safe
// for concurrent use.
func (s *Seeker) Speaking() string {
	addr, _ := s.currentAddress.Load().(string)
	return addr
}

// Seeds replaces the addresses of the seeds.
func (s *Seeker) Seeds(a []string) { s.events <- seekerEvent{seeds: a} }

// Learn takes note of a core daemon's address.
func (s *Seeker) Learn(addr string) { s.events <- seekerEvent{learn: addr} }

// Introduce tells the seeds that this core daemon is here. Seeds may hold no
// state and know nobody after all were started anew.
func (s *Seeker) Introduce(ctx context.Context, seeds []string) {
	for _, addr := range seeds {
		if addr == s.self {
			continue
		}
		go func() {
			if stream, _, ok := s.probe(ctx, addr); ok {
				stream.Close()
			}
		}()
	}
}

// Run is the seeker's loop.
func (s *Seeker) Run(ctx context.Context) error {
	s.lostAt = time.Now()
	kernel.Loop(ctx, s.events, func(event seekerEvent) { s.handle(ctx, event) }, func(now time.Time) time.Duration { return s.endTurn(ctx, now) })
	return nil
}

// handle takes one event.
func (s *Seeker) handle(ctx context.Context, event seekerEvent) {
	s.now = time.Now()
	switch {
	case event.ask != nil:
		s.lastID++
		s.pending[s.lastID] = event.ask
		s.sendOne(s.lastID, event.ask)
	case event.link != nil:
		s.onLink(ctx, event.link)
	case event.search != nil:
		s.onSearchResult(event.search)
	case event.switched != nil:
		s.onSwitch(event.switched)
	case event.learn != "":
		s.learn(event.learn)
	case event.known != nil:
		addresses := append([]string(nil), s.known...)
		if s.leader != "" {
			addresses = append(addresses, s.leader)
		}
		event.known <- addresses
	case event.seeds != nil:
		s.seeds = event.seeds
	}
}

// disconnect gives up the connection; requests under way are sent again on the
// next one.
func (s *Seeker) disconnect() {
	if s.stream != nil {
		s.stream.Close()
		s.stream, s.lostAt = nil, s.now
		s.currentAddress.Store("")
	}
	for _, request := range s.pending {
		request.sent = time.Time{}
	}
}

// onLink takes a frame of the connection, or its end.
func (s *Seeker) onLink(ctx context.Context, event *transport.Event) {
	if event.Stream != s.stream {
		return
	}
	if event.Closed {
		s.avoid(s.address)
		s.disconnect()
		return
	}
	s.heardAt = s.now
	switch event.Frame.Kind {
	case FrameAnswer:
		var answer Answer
		if transport.Decode(event.Frame.Body, &answer) != nil {
			s.disconnect()
			return
		}
		s.largestAnswer = max(s.largestAnswer, len(answer.Body))
		s.answer(ctx, event.Frame.ID, answer)
	case FrameOrder:
		var orders []Order
		if transport.Decode(event.Frame.Body, &orders) == nil && s.onOrder != nil {
			for _, order := range orders {
				s.onOrder(order)
			}
		}
	}
}

// useStream makes a stream the present one and sends all pending requests on it.
func (s *Seeker) useStream(stream *transport.Stream, addr string) {
	old := s.stream
	s.stream, s.address, s.heardAt, s.failedAt = stream, addr, s.now, time.Time{}
	s.currentAddress.Store(addr)
	if old != nil {
		old.Close()
	}
	ids := make([]uint64, 0, len(s.pending))
	for id := range s.pending {
		ids = append(ids, id)
	}
	// They are sent in the order in which they were made: of two requests about
	// one thing the later must win, also if a process was restarted in between.
	slices.Sort(ids)
	for _, id := range ids {
		s.pending[id].sent = time.Time{}
		s.sendOne(id, s.pending[id])
	}
	if s.onConnected != nil {
		s.onConnected()
	}
}

// endTurn gives up what is due, leaves a silent leader and searches for another;
// it returns when to come back.
func (s *Seeker) endTurn(ctx context.Context, now time.Time) time.Duration {
	s.now = now
	wake := time.Duration(0)
	soon := func(d time.Duration) {
		d = max(d, time.Millisecond)
		if wake == 0 || d < wake {
			wake = d
		}
	}
	if left := tune.Election - now.Sub(s.lostAt); s.stream == nil && left > 0 {
		soon(left)
	}
	s.expire(soon)
	if s.leaderSilent(soon) {
		// A frozen or cut-off leader answers nothing, and another may lead by
		// now.
		s.avoid(s.address)
		s.disconnect()
	}
	if s.stream == nil && !s.searching {
		s.searching = true
		s.searchID++
		s.search(ctx, s.searchID)
	}
	return wake
}

// Known are the addresses of core daemons heard of lately.
func (s *Seeker) Known() []string {
	got := make(chan []string, 1)
	s.events <- seekerEvent{known: got}
	return <-got
}
