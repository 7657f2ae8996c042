package member

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/kernel"
	"tealpond/internal/link"
	"tealpond/internal/tune"
)

// Seeker finds the leader, keeps one stream to it and carries asks. It is a
// task: all its state belongs to its loop.
type Seeker struct {
	log   log.Logger
	in    chan event
	push  func(Order)
	news  func(int64)
	attch func()
	self  string

	known  []string
	seeds  []string
	cur    *link.Stream
	lead   string
	seekID int
	busy   bool
	fails  int
	wait   map[uint64]*pending
	next   uint64
	now    time.Time
	heard  time.Time // the last frame of the present stream
	lost   time.Time // since when there is no stream to a leader
	failed time.Time // the last look at all places that found none; zero if none did since

	// homes: it turns to whom the answers name for its zone.
	homes   bool
	at      string // the address of the present stream
	standby string
	avoid   map[string]avoided
	hopping bool
}

// avoided is a daemon that left this one without an answer.
type avoided struct {
	till time.Time
	wait time.Duration
}

type pending struct {
	ask   Ask
	reply chan Answer
	till  time.Time
	// noLead is when an ask that was surely never taken is given up, known the
	// same while it is known that there is no leader in reach.
	noLead, known time.Time
	sent          time.Time // zero while not under way
	// open counts the times that it was sent and may have been taken.
	open int
	done <-chan struct{}
}

// end is the answer to an ask that is given up.
func (p *pending) end() {
	code := NoLeader
	if p.open > 0 {
		code = Lost
	}
	p.reply <- Answer{Code: code}
}

// patience is how long an ask waits for a leader: known, while it is known
// that none is in reach.
type patience struct{ most, known time.Duration }

// patienceOf tells it by the kind of ask: clients lose more by being turned
// away in an election than operators, who go on to the next daemon.
var patienceOf = map[string]patience{
	AskHandIn: {tune.NoLeaderWait, tune.NoLeaderKnown},
	AskStatus: {tune.NoLeaderWait, tune.NoLeaderKnown},
	AskCancel: {tune.NoLeaderWait, tune.NoLeaderKnown},
	AskPut:    {tune.OperatorWait, 0},
	AskRead:   {tune.OperatorWait, 0},
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

// hop is what came of turning to another daemon.
type hop struct {
	addr   string
	stream *link.Stream
}

type found struct {
	id      int
	stream  *link.Stream
	addr    string
	leads   bool
	known   []string
	partial bool // some places have not answered yet
	late    bool // what came of these in the end
}

// NewSeeker builds a seeker; push gets orders, news the newest version of the
// desired state, attached is called with each new stream to a leader.
func NewSeeker(l log.Logger, self string, seeds []string, push func(Order), news func(int64), attached func()) *Seeker {
	return &Seeker{log: l, self: self, seeds: seeds, push: push, news: news, attch: attached,
		in: make(chan event, 1024), wait: map[uint64]*pending{}}
}

// Homing makes the seeker turn to whoever sums up for its zone, as answers
// name it, and back to the leader when that one fails. Before Run.
func (s *Seeker) Homing() { s.homes, s.avoid = true, map[string]avoided{} }

// Seeds replaces the seeds.
func (s *Seeker) Seeds(a []string) { s.in <- event{seeds: a} }

// Ask carries an ask to the leader, again if need be, until ctx ends. All
// asks can be repeated without harm.
func (s *Seeker) Ask(ctx context.Context, kind string, body any) Answer {
	return s.AskRaw(ctx, Ask{Kind: kind, Body: link.Pack(body)})
}

// AskRaw is Ask with a body that is already packed.
func (s *Seeker) AskRaw(ctx context.Context, a Ask) Answer { return s.Post(ctx, a)() }

// Post is AskRaw in two steps: the ask is under way when Post returns, behind
// all that were posted before it; the function that it gives waits for the
// answer.
func (s *Seeker) Post(ctx context.Context, a Ask) func() Answer {
	now := time.Now()
	till, ok := ctx.Deadline()
	if !ok {
		till = now.Add(time.Minute)
	}
	w, ok := patienceOf[a.Kind]
	if !ok {
		w = patience{tune.NoLeaderWait, tune.NoLeaderWait}
	}
	if ctx.Value(leaderWaitKey{}) != nil {
		w.most = leaderWait(ctx)
	}
	p := &pending{ask: a, reply: make(chan Answer, 1), till: till, noLead: now.Add(w.most), known: now.Add(w.known), done: ctx.Done()}
	select {
	case s.in <- event{ask: p}:
	case <-ctx.Done():
		return func() Answer { return Answer{Code: NoLeader} }
	}
	return func() Answer {
		select {
		case a := <-p.reply:
			return a
		case <-ctx.Done():
			select {
			case a := <-p.reply:
				return a
			case <-time.After(20 * time.Millisecond):
				return Answer{Code: Lost}
			}
		}
	}
}

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
		s.next++
		s.wait[s.next] = e.ask
		s.sendOne(s.next, e.ask)
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
		if s.lead != "" {
			out = append(out, s.lead)
		}
		e.know <- out
	case e.seeds != nil:
		s.seeds = e.seeds
	}
}

func (s *Seeker) sendOne(id uint64, p *pending) {
	if s.cur == nil {
		return
	}
	if s.cur.Send(link.Frame{Kind: FrameAsk, ID: id, Body: link.Pack(p.ask)}) {
		p.sent = s.now
		p.open++
	}
}

func (s *Seeker) drop() {
	if s.cur != nil {
		s.cur.Close()
		s.cur, s.lost = nil, s.now
	}
	for _, p := range s.wait {
		p.sent = time.Time{}
	}
}

func (s *Seeker) onLink(ctx context.Context, e *link.Event) {
	if e.Stream != s.cur {
		return
	}
	if e.Gone {
		s.shun()
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

func (s *Seeker) answer(ctx context.Context, id uint64, a Answer) {
	p := s.wait[id]
	if p == nil {
		return
	}
	if a.Code == NotLead || a.Code == Unclear {
		// Why again: an ask has the same effect however often it is taken.
		if a.Lead != "" {
			s.lead = a.Lead
		}
		if a.Code == NotLead {
			p.open--
		}
		s.shun()
		s.drop()
		return
	}
	s.goHome(ctx, a)
	if a.Desired != 0 && s.news != nil {
		s.news(a.Desired)
	}
	delete(s.wait, id)
	p.reply <- a
}

func (s *Seeker) onFound(f *found) {
	if f.late && s.cur == nil {
		// Why taken: the rest of an earlier look has found a leader, or none,
		// which ends that look; the one under way is not waited for.
		if f.stream == nil || f.stream.Ended() {
			s.failed = s.now
			return
		}
		s.seekID++
		f.id = s.seekID
	}
	if f.id != s.seekID {
		if f.stream != nil {
			f.stream.Close()
		}
		return
	}
	s.busy = false
	for _, a := range f.known {
		s.learn(a)
	}
	if f.stream == nil || f.stream.Ended() {
		// Why also an ended one: its end may have been told before it was the
		// present one, and would not be told again.
		s.fails++
		if !f.partial {
			s.failed = s.now
		}
		return
	}
	s.fails = 0
	if f.leads {
		s.lead = f.addr
	}
	s.use(f.stream, f.addr)
}

// use makes a stream the present one; what waits is asked there.
func (s *Seeker) use(st *link.Stream, addr string) {
	old := s.cur
	s.cur, s.at, s.heard, s.failed = st, addr, s.now, time.Time{}
	if old != nil {
		old.Close()
	}
	ids := make([]uint64, 0, len(s.wait))
	for id := range s.wait {
		ids = append(ids, id)
	}
	// Why in the order in which they were made: of two asks about one thing
	// the later must win, and a new life's ask must follow the old one's.
	slices.Sort(ids)
	for _, id := range ids {
		s.wait[id].sent = time.Time{}
		s.sendOne(id, s.wait[id])
	}
	if s.attch != nil {
		s.attch()
	}
}

// shun notes that the present daemon failed: it is not turned to for a while,
// longer each time.
func (s *Seeker) shun() {
	if !s.homes || s.cur == nil {
		return
	}
	for a, v := range s.avoid {
		if s.now.Sub(v.till) > tune.AvoidMost {
			delete(s.avoid, a)
		}
	}
	w := min(max(2*s.avoid[s.at].wait, tune.Avoid), tune.AvoidMost)
	s.avoid[s.at] = avoided{s.now.Add(w), w}
}

// goHome turns to whom an answer names for this zone, if it isn't there yet.
func (s *Seeker) goHome(ctx context.Context, a Answer) {
	if !s.homes {
		return
	}
	if a.Home != "" || a.Next != "" {
		s.standby = a.Next
	}
	if a.Home == "" || a.Home == s.at || s.hopping || s.now.Before(s.avoid[a.Home].till) {
		return
	}
	s.hopping = true
	go func() {
		h := &hop{addr: a.Home}
		if st, v, ok := s.lookAt(ctx, a.Home); ok && (v.Sums || v.Leads) {
			h.stream = st
		} else if st != nil {
			st.Close()
		}
		select {
		case s.in <- event{hop: h}:
		case <-ctx.Done():
		}
	}()
}

func (s *Seeker) onHop(h *hop) {
	s.hopping = false
	switch {
	case h.stream == nil || h.stream.Ended():
		w := min(max(2*s.avoid[h.addr].wait, tune.Avoid), tune.AvoidMost)
		s.avoid[h.addr] = avoided{s.now.Add(w), w}
	case s.cur == nil || s.busy:
		// Why not: a search is under way, and its outcome rules.
		h.stream.Close()
	default:
		s.use(h.stream, h.addr)
	}
}

func (s *Seeker) learn(a string) {
	if a == "" {
		return
	}
	for i, k := range s.known {
		if k == a {
			copy(s.known[1:i+1], s.known[:i])
			s.known[0] = a
			return
		}
	}
	s.known = append([]string{a}, s.known...)
	if len(s.known) > 8 {
		s.known = s.known[:8]
	}
}

func (s *Seeker) rest(ctx context.Context, now time.Time) time.Duration {
	s.now = now
	wake := time.Duration(0)
	soon := func(d time.Duration) {
		if d < time.Millisecond {
			d = time.Millisecond
		}
		if wake == 0 || d < wake {
			wake = d
		}
	}
	stuck := false
	leaderless := s.leaderless(now)
	if left := tune.Election - now.Sub(s.lost); s.cur == nil && left > 0 {
		soon(left)
	}
	for id, p := range s.wait {
		select {
		case <-p.done:
			// Why answered: its caller waits a moment longer for this.
			delete(s.wait, id)
			p.end()
			continue
		default:
		}
		if !now.Before(p.till) || p.open == 0 && (!now.Before(p.noLead) || leaderless && !now.Before(p.known)) {
			delete(s.wait, id)
			p.end()
			continue
		}
		if !p.sent.IsZero() {
			// Why by what was heard: a busy leader answers late, and to turn
			// away from it would only bring it more to do.
			from := p.sent
			if s.heard.After(from) {
				from = s.heard
			}
			if now.Sub(from) > tune.AskRound || now.Sub(p.sent) > tune.AskMost {
				stuck = true
			} else {
				soon(tune.AskRound - now.Sub(from) + time.Millisecond)
			}
		}
		soon(p.till.Sub(now))
		if p.open == 0 {
			soon(p.noLead.Sub(now))
			if leaderless {
				soon(p.known.Sub(now))
			}
		}
	}
	if stuck {
		// Why closed: a frozen or cut-off leader answers nothing, and
		// another may lead by now.
		s.shun()
		s.drop()
	}
	if s.cur == nil && !s.busy {
		s.busy = true
		s.seekID++
		s.seek(ctx, s.seekID)
	}
	return wake
}

// leaderless tells whether it is known that no leader is in reach: none was
// found for longer than an election takes, and a look at all places has just
// failed.
func (s *Seeker) leaderless(now time.Time) bool {
	return s.cur == nil && now.Sub(s.lost) >= tune.Election && !s.failed.IsZero() && now.Sub(s.failed) < tune.LookFresh
}

// places are the addresses to try, the likeliest first.
func (s *Seeker) places() []string {
	var out []string
	add := func(a string) {
		for _, o := range out {
			if o == a {
				return
			}
		}
		if a != "" {
			out = append(out, a)
		}
	}
	add(s.lead)
	for _, a := range s.known {
		add(a)
	}
	for _, a := range s.seeds {
		add(a)
	}
	if s.homes {
		return few(out, s.fails)
	}
	return out
}

// few are some of the places, others each round: the likeliest always, and of
// the rest as many as tune.SeekPlaces allows. Why not all: hundreds of side
// daemons look at once after a loss, and whoever they ask names the leader.
func few(places []string, round int) []string {
	if len(places) <= tune.SeekPlaces {
		return places
	}
	out := append([]string(nil), places[:2]...)
	rest := places[2:]
	for i := range tune.SeekPlaces - 2 {
		out = append(out, rest[(round*(tune.SeekPlaces-2)+i)%len(rest)])
	}
	return out
}

// seek asks the known addresses side by side who leads.
func (s *Seeker) seek(ctx context.Context, id int) {
	places := s.places()
	standby := ""
	if s.homes && s.fails == 0 && s.standby != "" && s.standby != s.at && s.now.After(s.avoid[s.standby].till) {
		standby = s.standby
	}
	pause := time.Duration(0)
	if s.fails > 0 {
		pause = tune.Seek * time.Duration(min(s.fails, 2))
	}
	rest := tune.LookRest
	if s.fails >= tune.LookHasty {
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
		var f *found
		if standby != "" {
			// Why first and alone: it takes over for the zone, and the leader
			// is spared a stream from each side daemon.
			if st, v, ok := s.lookAt(ctx, standby); ok && (v.Sums || v.Leads) {
				f = &found{stream: st, addr: standby, leads: v.Leads}
			} else if st != nil {
				st.Close()
			}
		}
		if f == nil {
			f = s.look(ctx, places, rest)
		}
		f.id = id
		select {
		case s.in <- event{found: f}:
		case <-ctx.Done():
		}
	}()
}

type look struct {
	stream *link.Stream
	addr   string
	view   View
	ok     bool
}

// look asks all places at once. The first leader ends it; without one it ends
// after tune.LookRest if any place has answered: what hangs is likely the leader
// that was lost, and the next one may lead by now. The rest, and a leader among
// them, is told of later.
func (s *Seeker) look(ctx context.Context, places []string, most time.Duration) *found {
	out := make(chan look, len(places))
	for _, a := range places {
		go func() {
			st, v, ok := s.lookAt(ctx, a)
			out <- look{st, a, v, ok}
		}()
	}
	f := &found{}
	enough := time.NewTimer(most)
	defer enough.Stop()
	answered := false
	for left := len(places); left > 0; left-- {
		stop := enough.C
		if !answered {
			stop = nil
		}
		select {
		case l := <-out:
			answered = answered || l.ok
			if f.take(l) {
				go closeRest(out, left-1)
				return f
			}
		case <-stop:
			f.partial = true
			go s.lookOn(ctx, out, left)
			return f
		}
	}
	return f
}

// take notes what one place said; true if it leads.
func (f *found) take(l look) bool {
	if !l.ok {
		return false
	}
	f.known = append(f.known, l.view.Known...)
	if l.view.Lead != "" {
		f.known = append(f.known, l.view.Lead)
	}
	if !l.view.Leads {
		l.stream.Close()
		return false
	}
	// Why not wait for the rest: only a leader under a lease says so.
	f.stream, f.addr, f.leads = l.stream, l.addr, true
	return true
}

// closeRest closes the streams of places that aren't needed any more.
func closeRest(out <-chan look, left int) {
	for range left {
		if l := <-out; l.stream != nil {
			l.stream.Close()
		}
	}
}

// lookOn waits for the places that a look didn't wait for.
func (s *Seeker) lookOn(ctx context.Context, out <-chan look, left int) {
	f := &found{late: true}
	for ; left > 0; left-- {
		if f.take(<-out) {
			go closeRest(out, left-1)
			break
		}
	}
	select {
	case s.in <- event{found: f}:
	case <-ctx.Done():
	}
}

func (s *Seeker) lookAt(ctx context.Context, addr string) (*link.Stream, View, bool) {
	got := make(chan View, 1)
	st, err := link.Dial(ctx, addr, func(e link.Event) {
		if !e.Gone && e.Frame.Kind == FrameAnswer && e.Frame.ID == 0 {
			var a Answer
			var v View
			if link.Unpack(e.Frame.Body, &a) == nil && link.Unpack(a.Body, &v) == nil {
				select {
				case got <- v:
				default:
				}
			}
			return
		}
		select {
		case s.in <- event{link: &e}:
		case <-ctx.Done():
		}
	})
	if err != nil {
		return nil, View{}, false
	}
	st.Send(link.Frame{Kind: FrameAsk, Body: link.Pack(Ask{Kind: AskLead, Body: []byte(s.self)})})
	t := time.NewTimer(tune.Vitals)
	defer t.Stop()
	select {
	case v := <-got:
		return st, v, true
	case <-st.Done():
	case <-t.C:
	case <-ctx.Done():
	}
	st.Close()
	return nil, View{}, false
}

// Known are the addresses of core daemons heard of lately.
func (s *Seeker) Known() []string {
	got := make(chan []string, 1)
	s.in <- event{know: got}
	return <-got
}
