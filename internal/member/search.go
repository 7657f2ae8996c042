package member

import (
	"context"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/tune"
)

// found is what came of a search, or of the rest of one.
type found struct {
	id      int
	stream  *link.Stream
	addr    string
	leads   bool
	known   []string
	partial bool // some places have not answered yet
	late    bool // what came of these in the end
}

// look is what one place said of itself.
type look struct {
	stream *link.Stream
	addr   string
	view   View
	ok     bool
}

// onFound takes what came of a search.
func (s *Seeker) onFound(f *found) {
	if f.late && s.stream == nil {
		// Why taken: the rest of an earlier look has found a leader, or none,
		// which ends that look; the one under way is not waited for.
		if f.stream == nil {
			s.failed = s.now
			return
		}
		s.searchID++
		f.id = s.searchID
	}
	if f.id != s.searchID {
		if f.stream != nil {
			f.stream.Close()
		}
		return
	}
	s.searching = false
	for _, a := range f.known {
		s.learn(a)
	}
	if f.stream == nil || f.stream.Ended() {
		// Why also an ended one: its end may have been told before it was the
		// present one, and would not be told again.
		s.failures++
		if f.stream == nil && !f.partial {
			s.failed = s.now
		}
		return
	}
	s.failures = 0
	if f.leads {
		s.leader = f.addr
	}
	s.use(f.stream, f.addr)
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

// leaderless tells whether it is known that no leader is in reach: none was
// found for longer than an election takes, and a look at all places has just
// failed.
func (s *Seeker) leaderless(now time.Time) bool {
	return s.stream == nil && now.Sub(s.lost) >= tune.Election && !s.failed.IsZero() && now.Sub(s.failed) < tune.LookFresh
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
	add(s.leader)
	for _, a := range s.known {
		add(a)
	}
	for _, a := range s.seeds {
		add(a)
	}
	if s.homing {
		return few(out, s.failures)
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
	if s.homing && s.failures == 0 && s.standby != "" && s.standby != s.address && s.now.After(s.avoiding[s.standby].till) {
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
		var f *found
		if standby != "" {
			// Why first and alone: it takes over for the zone, and the leader
			// is spared a stream from each side daemon.
			if st, v := s.lookAtHome(ctx, standby); st != nil {
				f = &found{stream: st, addr: standby, leads: v.Leads}
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
