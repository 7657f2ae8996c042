package door

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/member"
	"tealpond/internal/store"
)

// fault is a break that is planted to see that the check finds it.
type fault string

const (
	sound           fault = ""
	bothRacersTaken fault = "both of two racers confirmed"
	oldVersionRead  fault = "a read of an old version"
	resendRefused   fault = "an order sent again refused"
	refusedTaken    fault = "a refused order taken later"
	recordsLost     fault = "records missing in the snapshot"
)

// system stands in for agreement and network between the daemons' doors and the
// replicas of the store: one order of commands, leaders that change, restarts
// from a snapshot, calls and answers that are lost or late.
type system struct {
	mu       sync.Mutex
	random   *rand.Rand
	fault    fault
	log      [][]byte
	replicas []*store.Store
	applied  []int
	leader   int
	texts    []string // all that were ever in force
	marks    int64    // orders the ends of calls
	history  []porcupine.Operation
	orders   []callInput
	givenUp  int
}

func newSystem(seed int64, f fault) *system {
	s := &system{random: rand.New(rand.NewSource(seed)), fault: f, applied: make([]int, 3)}
	for range s.applied {
		s.replicas = append(s.replicas, store.New(store.Limits{}))
	}
	return s
}

// draw gives a number below n.
func (s *system) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Intn(n)
}

func (s *system) pause(most time.Duration) { time.Sleep(time.Duration(1 + s.draw(int(most)))) }

// catchUp applies what a replica lacks and gives the last outcome.
func (s *system) catchUp(replica int) store.Outcome {
	var last store.Outcome
	for _, entry := range s.log[s.applied[replica]:] {
		last = s.replicas[replica].Run(s.replicas[replica].Applied+1, entry)[0]
	}
	s.applied[replica] = len(s.log)
	return last
}

// commit puts an order into the log; the leader's replica answers.
func (s *system) commit(p member.Put) member.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, err := cbor.Marshal(store.Batch{Cmds: []store.Raw{store.Encode("replace", &store.Replace{Base: p.Base, Raw: p.Raw})}})
	if err != nil {
		panic(err)
	}
	s.log = append(s.log, entry)
	if s.fault == refusedTaken {
		s.replicas[s.leader].Taken.Refused = nil
	}
	o := s.catchUp(s.leader)
	switch {
	case s.fault == bothRacersTaken && o.Code == 412 && s.random.Intn(4) == 0,
		s.fault == resendRefused && o.Text == "known":
		o.Code = 200 + 412 - o.Code // the one for the other
	}
	if o.Code == 200 {
		s.texts = append(s.texts, string(p.Raw))
	}
	return member.Answer{Code: o.Code, Text: o.Text, N: o.N}
}

// read answers from the leader's replica.
func (s *system) read() member.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.replicas[s.leader]
	if state.Desired.Version == 0 {
		return member.Answer{Code: 503, RetryMs: 1000}
	}
	if s.fault == oldVersionRead && s.random.Intn(20) == 0 {
		return member.Answer{Code: 200, Body: []byte(s.texts[0])}
	}
	return member.Answer{Code: 200, Body: state.Desired.Raw}
}

// upset changes the leader; the new one caught up from its own copy, or from a
// snapshot of another one.
func (s *system) upset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.random.Intn(len(s.replicas))
	if from := s.random.Intn(len(s.replicas)); s.applied[from] >= s.applied[next] {
		if s.fault == recordsLost {
			s.replicas[from].Taken = store.TakenLog{}
		}
		state, err := store.Load(s.replicas[from].Save(), store.Limits{})
		if err != nil {
			panic(err)
		}
		s.replicas[next], s.applied[next] = state, s.applied[from]
	}
	s.catchUp(next)
	s.leader = next
}

// route is the way from a daemon's door to the leader.
func (s *system) route(_ context.Context, a member.Ask) member.Answer {
	s.pause(20 * time.Millisecond)
	luck := s.draw(100)
	if luck < 5 {
		return member.Answer{Code: member.NoLeader}
	}
	var answer member.Answer
	if a.Kind == member.AskRead {
		answer = s.read()
	} else {
		var p member.Put
		if err := cbor.Unmarshal(a.Body, &p); err != nil {
			panic(err)
		}
		switch {
		case luck < 15: // lost on its way
			return member.Answer{Code: member.Lost}
		case luck < 30: // so late that its sender has sent it again
			late := time.Duration(1 + s.draw(int(2*time.Second)))
			go func() {
				time.Sleep(late)
				s.commit(p)
			}()
			return member.Answer{Code: member.Lost}
		}
		answer = s.commit(p)
	}
	s.pause(20 * time.Millisecond)
	if luck > 85 { // the answer was lost
		return member.Answer{Code: member.Lost}
	}
	return answer
}

func (s *system) mark() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marks++
	return s.marks
}

// note adds a call to the history. One without a clear answer has no end.
func (s *system) note(client int, in callInput, out callOutput, begun int64) {
	ended := s.mark()
	if out.code == 0 {
		ended = 1 << 60
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: begun, Return: ended})
}

// operator is one that makes changes through any of the daemons.
type operator struct {
	*system
	number int
	doors  []*Edge
	base   int64 // newest version that it knows of
}

func (o *operator) door() *Edge { return o.doors[o.draw(len(o.doors))] }

// read asks until there is an answer.
func (o *operator) read() {
	for range 20 {
		begun := o.mark()
		got := read(o.door())
		if got.Code == http.StatusOK {
			text := got.Body.String()
			o.note(o.number, callInput{}, callOutput{200, text}, begun)
			_, _ = fmt.Sscanf(text, `{"configVersion":%d`, &o.base)
			return
		}
		o.pause(100 * time.Millisecond)
	}
}

// send sends an order as it is, to any daemon, until the answer is clear.
func (o *operator) send(in callInput, tries int) {
	begun := o.mark()
	for range tries {
		got := put(o.door(), fmt.Sprint(in.base), in.text)
		if got.Code < 500 {
			o.note(o.number, in, callOutput{code: got.Code}, begun)
			if got.Code == http.StatusOK {
				o.base = max(o.base, in.version)
			}
			return
		}
		o.pause(200 * time.Millisecond)
	}
	o.note(o.number, in, callOutput{}, begun)
}

// order is a new one; operators may pick the same number, even the same text.
func (o *operator) order(base int64) callInput {
	in := callInput{base: base, version: base + 1 + int64(o.draw(3))}
	in.text = fmt.Sprintf(`{"configVersion":%d,"routeList":[{"name":"r%d","hostName":"h","pathPrefix":"/p/","timeoutMs":1000,"targetService":"s"}],"serviceList":[{"name":"s"}]}`, in.version, o.draw(3))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders = append(o.orders, in)
	return in
}

// patient is how often an order is sent by one who wants a clear answer.
const patient = 30

// giveUp allows some orders to be left without an answer. Why few: what may
// have happened at any time later makes the check's search long.
func (o *operator) giveUp() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.givenUp++
	return o.givenUp <= 6
}

func (o *operator) act() {
	switch luck := o.draw(100); {
	case luck < 30:
		o.read()
	case luck < 70:
		o.send(o.order(o.base), patient)
	case luck < 74: // on a version that another may make
		o.send(o.order(o.base+1+int64(o.draw(3))), patient)
	case luck < 77 && o.giveUp():
		o.send(o.order(o.base), 2)
	case luck < 94:
		o.mu.Lock()
		n := len(o.orders)
		o.mu.Unlock()
		if n > 0 {
			i := o.draw(n)
			o.mu.Lock()
			in := o.orders[i]
			o.mu.Unlock()
			o.send(in, patient)
		}
	default:
		o.upset()
	}
	o.pause(100 * time.Millisecond)
}

// playOperators has eight operators act side by side, and gives the system when
// all is over.
func playOperators(t *testing.T, seed int64, f fault, acts int) *system {
	s := newSystem(seed, f)
	synctest.Test(t, func(t *testing.T) {
		var doors []*Edge
		for range 3 {
			doors = append(doors, newTestEdge(s.route))
		}
		var all sync.WaitGroup
		for n := range 8 {
			all.Go(func() {
				o := &operator{system: s, number: n, doors: doors}
				// So that one seed gives one history: no two act at an instant.
				time.Sleep(time.Duration(n+1) * time.Microsecond)
				for range acts {
					o.act()
				}
			})
		}
		all.Wait()
		time.Sleep(3 * time.Second) // late copies
		for range 8 {
			(&operator{system: s, number: 8, doors: doors}).read()
		}
	})
	return s
}

// check holds a history against the model, and the replicas against each other.
func (s *system) check() string {
	if !porcupine.CheckOperations(registerModel, s.history) {
		return "the history is not linearizable"
	}
	for i := range s.replicas {
		s.catchUp(i)
		if !reflect.DeepEqual(s.replicas[i].Desired, s.replicas[0].Desired) || !reflect.DeepEqual(s.replicas[i].Taken, s.replicas[0].Taken) {
			return fmt.Sprintf("replica %d differs from the first", i)
		}
	}
	return ""
}

// TestOperatorsHistoriesAreLinearizable: whatever is lost, late, sent again or
// raced for, the answers are those of one register with conditional writes.
func TestOperatorsHistoriesAreLinearizable(t *testing.T) {
	for seed := range int64(12) {
		s := playOperators(t, seed, sound, 30)
		if why := s.check(); why != "" {
			t.Errorf("seed %d: %s", seed, why)
		}
		if s.replicas[0].Desired.Version < 10 || len(s.history) < 150 {
			t.Errorf("seed %d: only %d calls, version %d", seed, len(s.history), s.replicas[0].Desired.Version)
		}
	}
}

// TestHistoryCheckFindsPlantedBreaks: each break is found under most seeds.
func TestHistoryCheckFindsPlantedBreaks(t *testing.T) {
	for _, f := range []fault{bothRacersTaken, oldVersionRead, resendRefused, refusedTaken, recordsLost} {
		found := 0
		const seeds = 6
		for seed := range int64(seeds) {
			if playOperators(t, seed, f, 30).check() != "" {
				found++
			}
		}
		t.Logf("%s: found under %d of %d seeds", f, found, seeds)
		if found < seeds/2 {
			t.Errorf("%s: found under %d of %d seeds", f, found, seeds)
		}
	}
}
