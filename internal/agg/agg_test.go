package agg

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// top is a plain model of the leader: it grants what asks under the right
// fence and remembers when.
type top struct {
	no      uint64
	set     []member.Seat
	fences  map[string]int64
	granted map[string]int // how often
	now     time.Time
}

func (l *top) take(b Batch) (member.Answer, []member.Odd, []member.Answer) {
	if b.Many != nil {
		var out []member.Answer
		for _, a := range b.Many.Asks {
			out = append(out, member.Answer{Code: 200, Text: string(a.Body)})
		}
		return member.Answer{Code: 200, At: 7}, nil, out
	}
	g := b.Grants
	if g.Whole != nil {
		l.no, l.set = g.Set, g.Whole
	}
	if l.no != g.Set {
		return member.Answer{Code: 428}, nil, nil
	}
	var odd []member.Odd
	for i, seat := range l.set {
		if !g.Asks(i) {
			continue
		}
		if l.fences[seat.Worker] != seat.Fence {
			odd = append(odd, member.Odd{Seat: i, Code: 409})
			continue
		}
		l.granted[seat.Worker]++
	}
	return member.Answer{Code: 200, N: 3500}, odd, nil
}

func (l *top) give(a *Agg, b Batch) {
	r, odd, each := l.take(b)
	if b.Grants != nil {
		a.Granted(b.No, r, odd, l.now)
	} else {
		a.Called(b.No, r, each)
	}
}

// TestGrantsGoOnlyToWhoAsked is the rule on which a hold rests: whoever asked
// nothing since its last grant is granted nothing, whatever set it sits in;
// batches are lost, repeated leaders forget the set, fences rise.
func TestGrantsGoOnlyToWhoAsked(t *testing.T) {
	rnd := rand.New(rand.NewSource(5))
	a := New("d")
	l := &top{fences: map[string]int64{}, granted: map[string]int{}, now: time.Unix(1000, 0)}
	asked, answered, waiting := map[string]int{}, map[string]int{}, map[string]int{}
	var late []Batch
	for range 5000 {
		l.now = l.now.Add(time.Duration(rnd.Intn(60)) * time.Millisecond)
		worker := fmt.Sprint("w", rnd.Intn(40))
		if rnd.Intn(20) == 0 {
			l.fences[worker]++
		}
		fence := l.fences[worker]
		if rnd.Intn(30) == 0 {
			fence--
		}
		asked[worker]++
		waiting[worker]++
		a.Renew(member.Renew{Worker: worker, Fence: fence, Ratio: int64(rnd.Intn(3)) * 100}, func(r member.Answer) {
			waiting[worker]--
			if r.Code == 200 {
				answered[worker]++
			}
		}, l.now)
		bs, _ := a.Rest(l.now)
		for _, b := range bs {
			switch rnd.Intn(12) {
			case 0: // never answered in time
				a.Granted(b.No, member.Answer{Code: member.NotLead}, nil, l.now)
			case 1: // answered later, after newer ones
				late = append(late, b)
			case 2: // a new leader knows no set
				l.no, l.set = 0, nil
				l.give(a, b)
			default:
				l.give(a, b)
			}
		}
		if len(late) > 2 {
			l.give(a, late[0])
			late = late[1:]
		}
		for worker, n := range l.granted {
			if n > asked[worker] {
				t.Fatalf("%s was granted %d times and asked %d times", worker, n, asked[worker])
			}
		}
		for worker, n := range answered {
			if n > l.granted[worker] {
				t.Fatalf("%s heard of %d grants, the leader gave %d", worker, n, l.granted[worker])
			}
		}
	}
	for _, b := range late {
		l.give(a, b)
	}
	a.Drop(member.Answer{Code: member.NotLead})
	for worker, n := range waiting {
		if n != 0 {
			t.Errorf("%s: %d asks without an answer", worker, n)
		}
	}
	if a.Waits() != 0 {
		t.Errorf("%d still wait", a.Waits())
	}
}

// TestSteadyMembersAreNamedOnce: what a batch costs doesn't grow with what was
// told before; ten times the members cost a bit each.
func TestSteadyMembersAreNamedOnce(t *testing.T) {
	size := func(n int) int {
		a := New("0123456789abcdef01234567")
		l := &top{fences: map[string]int64{}, granted: map[string]int{}, now: time.Unix(1000, 0)}
		last := 0
		for range 8 {
			for i := range n {
				a.Renew(member.Renew{Worker: fmt.Sprintf("i-%010d", i)}, func(member.Answer) {}, l.now)
			}
			l.now = l.now.Add(tune.AggGrants + time.Millisecond)
			bs, _ := a.Rest(l.now)
			if len(bs) != 1 {
				t.Fatalf("%d batches for %d asks", len(bs), n)
			}
			last = len(transport.Encode(bs[0].Grants))
			l.give(a, bs[0])
		}
		if l.granted["i-0000000001"] != 8 {
			t.Fatalf("granted %d times", l.granted["i-0000000001"])
		}
		return last
	}
	small, large := size(10), size(450)
	t.Logf("a batch: %d bytes for 10 members, %d for 450", small, large)
	if large > small+450/8+8 {
		t.Errorf("%d bytes for 10 members, %d for 450", small, large)
	}
}

// TestCallsKeepTheirOrderAndPace: what comes close together goes up as one,
// each asker gets its own answer, and a batch without answers fails whole.
func TestCallsKeepTheirOrderAndPace(t *testing.T) {
	a := New("d")
	l := &top{now: time.Unix(1000, 0)}
	got := map[string]member.Answer{}
	call := func(n string) {
		if !a.Call(member.Ask{Kind: member.AskEnds, Body: []byte(n)}, func(r member.Answer) { got[n] = r }) {
			t.Fatalf("%s was refused", n)
		}
	}
	call("1")
	first, _ := a.Rest(l.now)
	call("2")
	call("3")
	if bs, wake := a.Rest(l.now); len(bs) != 0 || wake <= 0 || wake > tune.AggCalls {
		t.Fatalf("%d batches, back in %v", len(bs), wake)
	}
	l.now = l.now.Add(tune.AggCalls)
	second, _ := a.Rest(l.now)
	if len(first) != 1 || len(second) != 1 || len(second[0].Many.Asks) != 2 {
		t.Fatalf("%v, %v", first, second)
	}
	l.give(a, second[0])
	a.Called(first[0].No, member.Answer{Code: member.NotLead}, nil)
	for n, want := range map[string]member.Answer{"1": {Code: member.NotLead}, "2": {Code: 200, Text: "2", At: 7}, "3": {Code: 200, Text: "3", At: 7}} {
		if r := got[n]; r.Code != want.Code || r.Text != want.Text || r.At != want.At {
			t.Errorf("%s: %+v", n, r)
		}
	}
	for i := range tune.AggInbox {
		if !a.Call(member.Ask{}, func(member.Answer) {}) {
			t.Fatalf("refused at %d", i)
		}
	}
	if a.Call(member.Ask{}, func(member.Answer) {}) {
		t.Error("more than its inbox was taken")
	}
}
