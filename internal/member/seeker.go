package member

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/kernel"
	"tealpond/internal/link"
	"tealpond/internal/tune"
)

// Seeker finds the leader, keeps one stream to it and carries asks. It is a
// task: all its state belongs to its loop.
type Seeker struct {
	log  log.Logger
	in   chan event
	self string // this daemon's address, if others may learn it

	push     func(Order)
	news     func(int64)
	attached func()

	now     time.Time
	stream  *link.Stream // to the leader, or to whom speaks to it for the zone
	address string       // where the stream goes, or the last one went
	heard   time.Time    // the last frame of the stream
	waiting map[uint64]*pending
	last    uint64 // the number of the newest ask
	largest int    // bytes of the largest answer, which is a whole configuration

	seeds     []string
	known     []string  // core daemons heard of, the newest first
	leader    string    // who led when last heard of
	lost      time.Time // since when there is no stream
	failed    time.Time // the last look at all places that found none; zero if none did since
	searching bool
	searchID  int
	// speaking is the address of the stream, for readers outside the loop;
	// empty while there is none.
	speaking atomic.Value
	failures int // looks in a row that found none

	// homing: it turns to whom the answers name for its zone.
	homing   bool
	standby  string
	avoiding map[string]avoided
	hopping  bool
}

type event struct {
	link  *link.Event
	ask   *pending
	found *found
	seeds []string
	know  chan []string
	learn string
	hop   *hop
}

// NewSeeker builds a seeker; push gets orders, news the newest version of the
// desired state, attached is called with each new stream to a leader.
func NewSeeker(l log.Logger, self string, seeds []string, push func(Order), news func(int64), attached func()) *Seeker {
	return &Seeker{log: l, self: self, seeds: seeds, push: push, news: news, attached: attached,
		in: make(chan event, 1024), waiting: map[uint64]*pending{}}
}

// Homing makes the seeker turn to whoever sums up for its zone, as answers
// name it, and back to the leader when that one fails. Before Run.
func (s *Seeker) Homing() { s.homing, s.avoiding = true, map[string]avoided{} }

// Speaking is the inner address of the daemon that asks go to now: the leader,
// where the seeker isn't homing; empty while none is known. Safe for concurrent
// use.
func (s *Seeker) Speaking() string {
	addr, _ := s.speaking.Load().(string)
	return addr
}

// Seeds replaces the seeds.
func (s *Seeker) Seeds(a []string) { s.in <- event{seeds: a} }

// Learn takes note of a core daemon's address.
func (s *Seeker) Learn(addr string) { s.in <- event{learn: addr} }

// Introduce tells the seeds that this core daemon is here. Seeds may hold no
// state and know nobody after all were started anew.
func (s *Seeker) Introduce(ctx context.Context, seeds []string) {
	for _, a := range seeds {
		if a == s.self {
			continue
		}
		go func() {
			if st, _, ok := s.lookAt(ctx, a); ok {
				st.Close()
			}
		}()
	}
}

// Run is the seeker's loop.
func (s *Seeker) Run(ctx context.Context) error {
	s.lost = time.Now()
	kernel.Loop(ctx, s.in, func(e event) { s.take(ctx, e) }, func(now time.Time) time.Duration { return s.rest(ctx, now) })
	return nil
}

func (s *Seeker) take(ctx context.Context, e event) {
	s.now = time.Now()
	switch {
	case e.ask != nil:
		s.last++
		s.waiting[s.last] = e.ask
		s.sendOne(s.last, e.ask)
	case e.link != nil:
		s.onLink(ctx, e.link)
	case e.found != nil:
		s.onFound(e.found)
	case e.hop != nil:
		s.onHop(e.hop)
	case e.learn != "":
		s.learn(e.learn)
	case e.know != nil:
		out := append([]string(nil), s.known...)
		if s.leader != "" {
			out = append(out, s.leader)
		}
		e.know <- out
	case e.seeds != nil:
		s.seeds = e.seeds
	}
}

func (s *Seeker) drop() {
	if s.stream != nil {
		s.stream.Close()
		s.stream, s.lost = nil, s.now
		s.speaking.Store("")
	}
	for _, p := range s.waiting {
		p.sent = time.Time{}
	}
}

func (s *Seeker) onLink(ctx context.Context, e *link.Event) {
	if e.Stream != s.stream {
		return
	}
	if e.Gone {
		s.avoid(s.address)
		s.drop()
		return
	}
	s.heard = s.now
	switch e.Frame.Kind {
	case FrameAnswer:
		var a Answer
		if link.Unpack(e.Frame.Body, &a) != nil {
			s.drop()
			return
		}
		s.largest = max(s.largest, len(a.Body))
		s.answer(ctx, e.Frame.ID, a)
	case FrameOrder:
		var os []Order
		if link.Unpack(e.Frame.Body, &os) == nil && s.push != nil {
			for _, o := range os {
				s.push(o)
			}
		}
	}
}

// use makes a stream the present one; what waits is asked there.
func (s *Seeker) use(st *link.Stream, addr string) {
	old := s.stream
	s.stream, s.address, s.heard, s.failed = st, addr, s.now, time.Time{}
	s.speaking.Store(addr)
	if old != nil {
		old.Close()
	}
	ids := make([]uint64, 0, len(s.waiting))
	for id := range s.waiting {
		ids = append(ids, id)
	}
	// Why in the order in which they were made: of two asks about one thing
	// the later must win, and a new life's ask must follow the old one's.
	slices.Sort(ids)
	for _, id := range ids {
		s.waiting[id].sent = time.Time{}
		s.sendOne(id, s.waiting[id])
	}
	if s.attached != nil {
		s.attached()
	}
}

// rest gives up what is due, leaves a silent leader and looks for another; it
// returns when to come back.
func (s *Seeker) rest(ctx context.Context, now time.Time) time.Duration {
	s.now = now
	wake := time.Duration(0)
	soon := func(d time.Duration) {
		d = max(d, time.Millisecond)
		if wake == 0 || d < wake {
			wake = d
		}
	}
	if left := tune.Election - now.Sub(s.lost); s.stream == nil && left > 0 {
		soon(left)
	}
	s.expire(soon)
	if s.silent(soon) {
		// Why closed: a frozen or cut-off leader answers nothing, and
		// another may lead by now.
		s.avoid(s.address)
		s.drop()
	}
	if s.stream == nil && !s.searching {
		s.searching = true
		s.searchID++
		s.seek(ctx, s.searchID)
	}
	return wake
}

// Known are the addresses of core daemons heard of lately.
func (s *Seeker) Known() []string {
	got := make(chan []string, 1)
	s.in <- event{know: got}
	return <-got
}
