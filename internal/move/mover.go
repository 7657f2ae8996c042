package move

import (
	"context"
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/foresee"
	"tealpond/internal/member"
	"tealpond/internal/store"
	"tealpond/internal/transport"
)

// Home is the mover's own cluster: asks to the leader's store in this process.
type Home interface {
	// Moves shows what there is to do; Leads is false on a daemon that
	// doesn't lead, and then there is nothing.
	Moves(ctx context.Context) Work
	// Do puts a command into the log and waits for its outcome; false if it
	// is unclear whether it was.
	Do(ctx context.Context, kind string, c store.Cmd) (store.Outcome, bool)
}

// Mover is the task on each core daemon; only that of the leader acts.
type Mover struct {
	set   Setting
	log   log.Logger
	home  Home
	peers map[string]*member.Seeker
	loans map[string]loan
	calm  time.Time // nothing is offered before
}

type loan struct {
	id   string
	left int64
	till time.Time
}

// New builds a mover.
func New(set Setting, l log.Logger, home Home) *Mover {
	m := &Mover{set: set, log: l, home: home, peers: map[string]*member.Seeker{}, loans: map[string]loan{}}
	for _, p := range set.Peers {
		m.peers[p.Name] = member.NewSeeker(l, "", p.Seeds, nil, nil, nil)
	}
	return m
}

// Run turns until ctx ends.
func (m *Mover) Run(ctx context.Context) {
	for _, s := range m.peers {
		go func() { _ = s.Run(ctx) }()
	}
	t := time.NewTicker(time.Duration(m.set.PauseMs) * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.turn(ctx)
		}
	}
}

func (m *Mover) turn(ctx context.Context) {
	x, stop := context.WithTimeout(ctx, 2*time.Second)
	w := m.home.Moves(x)
	stop()
	if !w.Leads {
		return
	}
	for _, o := range w.Open {
		m.settle(ctx, o)
	}
	m.plan(ctx, w)
}

// call asks a peer's leader.
func (m *Mover) call(ctx context.Context, peer string, c Call) (Said, bool) {
	p, s := m.set.peer(peer), m.peers[peer]
	if p == nil {
		return Said{}, false
	}
	c.From, c.To = m.set.Name, peer
	x, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	a := s.AskRaw(x, member.Ask{Kind: member.AskPeer, Body: Sign(p.Key, c)})
	var said Said
	if a.Code != 200 || transport.Decode(a.Body, &said) != nil {
		return Said{}, false
	}
	return said, true
}

// settle moves one open move on: the peer's log says what holds.
func (m *Mover) settle(ctx context.Context, o Open) {
	c := Call{Kind: CallOffer, Job: o.Job, No: o.No, Lane: o.Lane, Body: o.Body}
	switch l, ok := m.loans[o.Peer]; {
	case o.Over:
		c = Call{Kind: CallRelease, Job: o.Job, No: o.No}
	case o.Cancel || o.State == store.MoveTaken:
		// Why void also to ask: it leaves what was taken as it is.
		c = Call{Kind: CallVoid, Job: o.Job, No: o.No, Cancel: o.Cancel}
	case ok && time.Now().Before(l.till):
		c.Loan = l.id
	default:
		// Why taken back: there is no room lent any more.
		c = Call{Kind: CallVoid, Job: o.Job, No: o.No}
	}
	said, ok := m.call(ctx, o.Peer, c)
	if !ok || said.Word == "" {
		return
	}
	x, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	out, ok := m.home.Do(x, "settle", &store.SettleMove{Job: o.Job, No: o.No, Peer: o.Peer, Epoch: said.Epoch, Index: said.Index, What: said.Word})
	if ok && out.Code == 409 {
		_ = m.log.Log("level", "error", "event", "move.distrusted", "job", o.Job, "peer", o.Peer, "why", out.Text)
		return
	}
	if ok && (o.State != store.MoveTaken || said.Word != "taken") {
		_ = m.log.Log("level", "info", "event", "move.settled", "job", o.Job, "peer", o.Peer, "no", o.No, "word", said.Word)
	}
}

// shape is how the record's buckets form days.
func (s *Setting) shape() foresee.Shape {
	return foresee.Shape{PerDay: int64(s.DayS / s.BucketS), Least: s.LeastDays}
}

// BucketOf is the bucket of a true time in ms.
func (s *Setting) BucketOf(wall int64) int64 { return int64(float64(wall) / 1000 / s.BucketS) }

// limit is the demand of a bucket, in core-ms, from which it is crowded.
func (s *Setting) limit(room int64) float64 {
	return s.CrowdedAt * float64(room) / 1000 * s.BucketS * 1000
}

// Crowded tells whether the record foresees too little room.
func (s *Setting) Crowded(w Work) bool {
	if w.Room == 0 {
		return false
	}
	_, _, ok := foresee.Crowded(w.Demand, s.BucketOf(w.Wall)-1, int64(s.Horizon)+1, s.limit(w.Room), s.shape())
	return ok
}

// Spare is the room, in thousandths of a core, that may be lent.
func (s *Setting) Spare(w Work) int64 {
	// Why the whole loan: room that is free until the own rush begins would
	// still be out when it does.
	ahead := max(int64(s.Horizon), int64(math.Ceil(s.LoanS/s.BucketS))) + 1
	free, ok := foresee.Free(w.Demand, s.BucketOf(w.Wall)-1, ahead, s.limit(w.Room), s.shape())
	if !ok {
		return 0
	}
	return min(int64(free/s.BucketS), int64(s.LendShare*float64(w.Room)))
}

// plan offers jobs that can wait while a crowd is foreseen.
func (m *Mover) plan(ctx context.Context, w Work) {
	if len(w.Free) == 0 || !m.set.Crowded(w) || time.Now().Before(m.calm) {
		return
	}
	sort.SliceStable(w.Free, func(a, b int) bool { return w.Free[a].Priority > w.Free[b].Priority })
	n := 0
	for _, c := range w.Free {
		l := m.lane(c.Lane)
		// Why once: a job must not go back and forth.
		if l == nil || c.Rounds > 0 || n >= m.set.EachTime {
			continue
		}
		lo, ok := m.borrow(ctx, w, l.Peer, c.CPU)
		if !ok {
			return
		}
		lo.left -= c.CPU
		m.loans[l.Peer] = lo
		x, stop := context.WithTimeout(ctx, 2*time.Second)
		out, ok := m.home.Do(x, "offer", &store.Offer{Job: c.Job, Peer: l.Peer})
		stop()
		if ok && out.Code == 200 {
			n++
			_ = m.log.Log("level", "info", "event", "move.offered", "job", c.Job, "peer", l.Peer, "no", out.N)
		}
	}
}

// borrow asks a peer for room for a while, unless some is left.
func (m *Mover) borrow(ctx context.Context, w Work, peer string, cpu int64) (loan, bool) {
	l := m.loans[peer]
	if time.Now().Before(l.till) {
		// Why more jobs than room: they follow one another in it.
		return l, l.left > -8*max(cpu, 1)
	}
	id := fmt.Sprintf("%s/%s/%d", m.set.Name, w.Epoch, w.Index)
	said, ok := m.call(ctx, peer, Call{Kind: CallLoan, Loan: id, CPU: max(cpu, 1), ForMs: int64(m.set.LoanS * 1000)})
	if !ok || said.Word != "lent" {
		m.calm = time.Now().Add(seconds(m.set.BucketS) / 4)
		_ = m.log.Log("level", "info", "event", "move.noloan", "peer", peer, "word", said.Word)
		return loan{}, false
	}
	// Why a little shorter here: offers must arrive while it lasts.
	l = loan{id: id, left: said.N, till: time.Now().Add(seconds(m.set.LoanS) - seconds(m.set.LoanS)/10)}
	m.loans[peer] = l
	_ = m.log.Log("level", "info", "event", "move.borrowed", "peer", peer, "cpu", said.N, "loan", id)
	return l, true
}

func (m *Mover) lane(here string) *Lane {
	for i := range m.set.Lanes {
		if m.set.Lanes[i].Here == here {
			return &m.set.Lanes[i]
		}
	}
	return nil
}
