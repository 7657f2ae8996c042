package member_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/member"
	"tealpond/internal/sim"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// daemon is a stand-in for a core daemon: it tells who leads, and answers what
// it is told to.
type daemon struct {
	addr string
	ip   string

	mu     sync.Mutex
	view   member.View
	answer func(ask member.Ask) (member.Answer, bool)
}

// now changes what a daemon says of itself and how it answers.
func (d *daemon) now(view member.View, answer func(ask member.Ask) (member.Answer, bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = view
	if answer != nil {
		d.answer = answer
	}
}

func (d *daemon) take(ask member.Ask) (member.Answer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ask.Kind == member.AskLead {
		return member.Answer{Code: 200, Body: transport.Encode(d.view)}, true
	}
	return d.answer(ask)
}

// place is a network with one seeker and some daemons.
type place struct {
	t       *testing.T
	net     *sim.Net
	daemons []*daemon
	seek    *member.Seeker
	me      string
}

func (p *place) serve(ctx context.Context, d *daemon) {
	err := transport.Serve(transport.WithNetwork(ctx, p.net.Host(d.ip)), d.addr, func(e transport.Event) {
		var ask member.Ask
		if e.Closed || transport.Decode(e.Frame.Body, &ask) != nil {
			return
		}
		if r, ok := d.take(ask); ok {
			e.Stream.Send(transport.Frame{Kind: member.FrameAnswer, ID: e.Frame.ID, Body: transport.Encode(r)})
		}
	})
	if err != nil {
		p.t.Fatal(err)
	}
}

// cut cuts the seeker off from a daemon, both ways, or joins them again.
func (p *place) cut(d *daemon, cut bool) {
	for _, w := range [][2]string{{p.me, d.ip}, {d.ip, p.me}} {
		if cut {
			p.net.Cut(w[0], w[1])
		} else {
			p.net.Join(w[0], w[1])
		}
	}
}

// ask asks and tells the code of the answer and how long it took.
func (p *place) ask(kind string, most time.Duration) (int, time.Duration) {
	x, stop := context.WithTimeout(context.Background(), most)
	defer stop()
	from := time.Now()
	answer := p.seek.Ask(x, kind, struct{}{})
	return answer.Code, time.Since(from)
}

// among runs a test with a seeker that knows n daemons as seeds; the first of
// them leads, and all answer asks with 200 and their number as N.
func among(t *testing.T, n int, test func(p *place)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		p := &place{t: t, net: sim.NewNet(), me: "10.0.0.100"}
		var seeds []string
		for i := range n {
			ip := fmt.Sprint("10.0.0.", i+1)
			d := &daemon{ip: ip, addr: ip + ":7720", view: member.View{Term: 1, Leads: i == 0}}
			d.answer = func(member.Ask) (member.Answer, bool) { return member.Answer{Code: 200, N: int64(i)}, true }
			p.daemons = append(p.daemons, d)
			p.serve(ctx, d)
			seeds = append(seeds, d.addr)
		}
		p.seek = member.NewSeeker(log.NewNopLogger(), "", seeds, nil, nil, nil)
		go func() { _ = p.seek.Run(transport.WithNetwork(ctx, p.net.Host(p.me))) }()
		test(p)
		stop()
		for _, d := range p.daemons {
			p.net.Down(d.ip)
		}
		time.Sleep(10 * time.Second)
	})
}

func notLead(member.Ask) (member.Answer, bool) { return member.Answer{Code: member.NotLead}, true }

// TestCutOffDaemonAnswersAtOnce: while it is known that no leader is in reach,
// an operator is told so at once, and a client soon; at first both wait as long
// as an election takes, the operator less than the second after which it goes
// on by itself.
func TestCutOffDaemonAnswersAtOnce(t *testing.T) {
	among(t, 3, func(p *place) {
		if code, _ := p.ask(member.AskRead, time.Second); code != 200 {
			t.Fatalf("before the cut: %d", code)
		}
		for _, d := range p.daemons {
			p.cut(d, true)
		}
		// The cut is noticed by the silence after this one.
		if code, _ := p.ask(member.AskPut, time.Second); code != member.Lost {
			t.Errorf("sent into the cut: code %d", code)
		}
		if code, took := p.ask(member.AskPut, time.Second); code != member.NoLeader || took > tune.OperatorWait+10*time.Millisecond {
			t.Errorf("an operator, soon after the loss: code %d after %v", code, took)
		}
		time.Sleep(2 * time.Second)
		for range 20 {
			if code, took := p.ask(member.AskRead, time.Second); code != member.NoLeader || took > 20*time.Millisecond {
				t.Errorf("an operator, long after the loss: code %d after %v", code, took)
			}
			if code, took := p.ask(member.AskHandIn, 3*time.Second); code != member.NoLeader || took > tune.NoLeaderKnown+10*time.Millisecond {
				t.Errorf("a client, long after the loss: code %d after %v", code, took)
			}
			if code, took := p.ask(member.AskClaim, 3*time.Second); code != member.NoLeader || took < tune.NoLeaderWait {
				t.Errorf("a daemon's own ask: code %d after %v", code, took)
			}
		}
		for _, d := range p.daemons {
			p.cut(d, false)
		}
		time.Sleep(time.Second)
		if code, _ := p.ask(member.AskRead, time.Second); code != 200 {
			t.Errorf("after the cut: %d", code)
		}
	})
}

// TestClientsWaitThroughAnElection: a leader is found a second after the old
// one was lost, and a client's call has waited for it.
func TestClientsWaitThroughAnElection(t *testing.T) {
	among(t, 3, func(p *place) {
		p.ask(member.AskRead, time.Second)
		p.daemons[0].now(member.View{}, notLead)
		go func() {
			time.Sleep(800 * time.Millisecond)
			p.daemons[1].now(member.View{Term: 2, Leads: true}, nil)
		}()
		if code, took := p.ask(member.AskHandIn, 3*time.Second); code != 200 {
			t.Errorf("code %d after %v", code, took)
		}
	})
}

// TestOnlyWhatWasSurelyNotTakenIsRefused: an ask that a leader said it didn't
// take may be refused; one that was left without an answer may not, whatever
// came after, also when its caller's time ends first.
func TestOnlyWhatWasSurelyNotTakenIsRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		code int
		ok   bool
		want int
	}{
		{"not the leader any more", member.NotLead, true, member.NoLeader},
		{"lost its term with the ask under way", member.Unclear, true, member.Lost},
		{"silent", 0, false, member.Lost},
	} {
		for _, most := range []time.Duration{700 * time.Millisecond, 3 * time.Second} {
			among(t, 3, func(p *place) {
				p.ask(member.AskRead, time.Second)
				d := p.daemons[0]
				d.now(member.View{Term: 1, Leads: true}, func(member.Ask) (member.Answer, bool) {
					d.view.Leads = false
					return member.Answer{Code: c.code}, c.ok
				})
				if code, took := p.ask(member.AskHandIn, most); code != c.want {
					t.Errorf("%s, within %v: code %d after %v, want %d", c.name, most, code, took, c.want)
				}
			})
		}
	}
}

// TestAnotherDaemonAtTheLeadersAddressIsNotAsked: addresses are reused.
func TestAnotherDaemonAtTheLeadersAddressIsNotAsked(t *testing.T) {
	among(t, 2, func(p *place) {
		p.ask(member.AskRead, time.Second)
		old, now := p.daemons[0], p.daemons[1]
		p.net.Down(old.ip)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		asked := 0
		old.now(member.View{}, func(member.Ask) (member.Answer, bool) { asked++; return member.Answer{}, false })
		now.now(member.View{Term: 2, Leads: true, Lead: old.addr}, nil)
		p.serve(ctx, old)
		x, done := context.WithTimeout(context.Background(), 3*time.Second)
		defer done()
		if answer := p.seek.Ask(x, member.AskHandIn, struct{}{}); answer.Code != 200 || answer.N != 1 {
			t.Errorf("code %d, answer %d", answer.Code, answer.N)
		}
		if asked != 0 {
			t.Error("the ask went to whoever has the old leader's address now")
		}
	})
}

// TestNextLeaderIsFoundWhileTheLostOneHangs: the old leader says nothing, also
// not that its port is closed; a look at all places must not wait for it.
func TestNextLeaderIsFoundWhileTheLostOneHangs(t *testing.T) {
	among(t, 3, func(p *place) {
		p.ask(member.AskRead, time.Second)
		p.cut(p.daemons[0], true)
		go func() {
			time.Sleep(600 * time.Millisecond)
			p.daemons[1].now(member.View{Term: 2, Leads: true}, nil)
		}()
		code, took := p.ask(member.AskHandIn, 3*time.Second)
		if code != 200 || took > tune.AskRound+400*time.Millisecond {
			t.Errorf("code %d after %v", code, took)
		}
		p.cut(p.daemons[0], false)
	})
}

// TestSlowLeaderIsFound: what a look didn't wait for counts when it comes.
func TestSlowLeaderIsFound(t *testing.T) {
	among(t, 3, func(p *place) {
		p.net.Slow(p.daemons[0].ip, tune.LookRest*2/3)
		if code, took := p.ask(member.AskHandIn, 3*time.Second); code != 200 || took > time.Second {
			t.Errorf("code %d after %v", code, took)
		}
	})
}
