package api

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

	"tealpond/internal/rpc"
	"tealpond/internal/state"
)

// plantedFault is a defect that is planted to see that the check finds it.
type plantedFault string

const (
	noFault            plantedFault = ""
	bothRacersAccepted plantedFault = "both of two racers confirmed"
	staleRead          plantedFault = "a read of an old version"
	resendRejected     plantedFault = "a change that was sent again rejected"
	rejectedAccepted   plantedFault = "a rejected change accepted later"
	recordsLost        plantedFault = "records missing in the snapshot"
)

// testCluster stands in for consensus and network between the daemons' front ends
// and the replicas of the state: one log of commands, leaders that change,
// restarts from a snapshot, requests and responses that are lost or late.
type testCluster struct {
	mu             sync.Mutex
	random         *rand.Rand
	fault          plantedFault
	log            [][]byte
	replicas       []*state.Store
	applied        []int
	leader         int
	configsInForce []string // all that were ever in force
	ticks          int64    // orders the ends of calls
	history        []porcupine.Operation
	changes        []callInput
	abandoned      int
}

func newTestCluster(seed int64, fault plantedFault) *testCluster {
	c := &testCluster{random: rand.New(rand.NewSource(seed)), fault: fault, applied: make([]int, 3)}
	for range c.applied {
		c.replicas = append(c.replicas, state.New(state.Limits{}))
	}
	return c
}

// randomBelow returns a number below n.
func (c *testCluster) randomBelow(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Intn(n)
}

func (c *testCluster) sleepUpTo(most time.Duration) {
	time.Sleep(time.Duration(1 + c.randomBelow(int(most))))
}

// catchUp applies what a replica lacks and gives the last outcome.
func (c *testCluster) catchUp(replica int) state.Outcome {
	var last state.Outcome
	for _, entry := range c.log[c.applied[replica]:] {
		last = c.replicas[replica].ApplyEntry(c.replicas[replica].AppliedIndex+1, entry)[0]
	}
	c.applied[replica] = len(c.log)
	return last
}

// commit appends a change to the log; the leader's replica answers.
func (c *testCluster) commit(replace rpc.ConfigUpdate) rpc.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	command := &state.ReplaceConfiguration{BaseVersion: replace.BaseVersion, Raw: replace.Raw}
	encoded := state.EncodeCommand(state.CommandReplaceConfiguration, command)
	entry, err := cbor.Marshal(state.Batch{Commands: []state.EncodedCommand{encoded}})
	if err != nil {
		panic(err)
	}
	c.log = append(c.log, entry)
	if c.fault == rejectedAccepted {
		c.replicas[c.leader].ConfigurationHistory.Refused = nil
	}
	outcome := c.catchUp(c.leader)
	switch {
	case c.fault == bothRacersAccepted && outcome.Code == 412 && c.random.Intn(4) == 0,
		c.fault == resendRejected && outcome.Text == "known":
		outcome.Code = 200 + 412 - outcome.Code // the one for the other
	}
	if outcome.Code == 200 {
		c.configsInForce = append(c.configsInForce, string(replace.Raw))
	}
	return rpc.Response{Code: rpc.Code(outcome.Code), Text: outcome.Text, Value: outcome.Value}
}

// read answers from the leader's replica.
func (c *testCluster) read() rpc.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.replicas[c.leader]
	if state.Configuration.Version == 0 {
		return rpc.Response{Code: 503, RetryAfterMs: 1000}
	}
	if c.fault == staleRead && c.random.Intn(20) == 0 {
		return rpc.Response{Code: 200, Body: []byte(c.configsInForce[0])}
	}
	return rpc.Response{Code: 200, Body: state.Configuration.Raw}
}

// changeLeader changes the leader; the new one caught up from its own copy, or from a
// snapshot of another one.
func (c *testCluster) changeLeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.random.Intn(len(c.replicas))
	if from := c.random.Intn(len(c.replicas)); c.applied[from] >= c.applied[next] {
		if c.fault == recordsLost {
			c.replicas[from].ConfigurationHistory = state.ConfigurationHistory{}
		}
		state, err := state.DecodeSnapshot(c.replicas[from].EncodeSnapshot(), state.Limits{})
		if err != nil {
			panic(err)
		}
		c.replicas[next], c.applied[next] = state, c.applied[from]
	}
	c.catchUp(next)
	c.leader = next
}

// callLeader is the way from a daemon's front end to the leader.
func (c *testCluster) callLeader(_ context.Context, request rpc.Request) rpc.Response {
	c.sleepUpTo(20 * time.Millisecond)
	luck := c.randomBelow(100)
	if luck < 5 {
		return rpc.Response{Code: rpc.CodeNoLeader}
	}
	var answer rpc.Response
	if request.Kind == rpc.KindGetConfig {
		answer = c.read()
	} else {
		var replace rpc.ConfigUpdate
		if err := cbor.Unmarshal(request.Body, &replace); err != nil {
			panic(err)
		}
		switch {
		case luck < 15: // lost on its way
			return rpc.Response{Code: rpc.CodeTimeout}
		case luck < 30: // so late that its sender has sent it again
			late := time.Duration(1 + c.randomBelow(int(2*time.Second)))
			go func() {
				time.Sleep(late)
				c.commit(replace)
			}()
			return rpc.Response{Code: rpc.CodeTimeout}
		}
		answer = c.commit(replace)
	}
	c.sleepUpTo(20 * time.Millisecond)
	if luck > 85 { // the answer was lost
		return rpc.Response{Code: rpc.CodeTimeout}
	}
	return answer
}

func (c *testCluster) tick() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ticks++
	return c.ticks
}

// recordCall adds a call to the history. One without a clear answer has no end.
func (c *testCluster) recordCall(client int, in callInput, out callOutput, begun int64) {
	ended := c.tick()
	if out.code == 0 {
		ended = 1 << 60
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: begun, Return: ended})
}

// operator is one that makes changes through any of the daemons.
type operator struct {
	*testCluster
	number  int
	servers []*Server
	base    int64 // newest version that it knows of
}

func (o *operator) anyServer() *Server { return o.servers[o.randomBelow(len(o.servers))] }

// read sends reads until one is answered.
func (o *operator) read() {
	for range 20 {
		begun := o.tick()
		got := readConfig(o.anyServer())
		if got.Code == http.StatusOK {
			text := got.Body.String()
			o.recordCall(o.number, callInput{}, callOutput{200, text}, begun)
			_, _ = fmt.Sscanf(text, `{"configVersion":%d`, &o.base)
			return
		}
		o.sleepUpTo(100 * time.Millisecond)
	}
}

// send sends a change as it is, to any daemon, until the answer is clear.
func (o *operator) send(in callInput, tries int) {
	begun := o.tick()
	for range tries {
		got := replaceConfig(o.anyServer(), fmt.Sprint(in.base), in.text)
		if got.Code < 500 {
			o.recordCall(o.number, in, callOutput{code: got.Code}, begun)
			if got.Code == http.StatusOK {
				o.base = max(o.base, in.version)
			}
			return
		}
		o.sleepUpTo(200 * time.Millisecond)
	}
	o.recordCall(o.number, in, callOutput{}, begun)
}

// newChange is a new one; operators may pick the same number, even the same text.
func (o *operator) newChange(base int64) callInput {
	in := callInput{base: base, version: base + 1 + int64(o.randomBelow(3))}
	in.text = fmt.Sprintf(`{"configVersion":%d,"routeList":[{"name":"r%d","hostName":"h","pathPrefix":"/p/",`+
		`"timeoutMs":1000,"targetService":"s"}],"serviceList":[{"name":"s"}]}`, in.version, o.randomBelow(3))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, in)
	return in
}

// maxSends is how often a change is sent by one who wants a clear answer.
const maxSends = 30

// mayAbandon allows a few changes to be left without an answer: what may
// have happened at any time later makes the check's search long.
func (o *operator) mayAbandon() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.abandoned++
	return o.abandoned <= 6
}

func (o *operator) act() {
	switch luck := o.randomBelow(100); {
	case luck < 30:
		o.read()
	case luck < 70:
		o.send(o.newChange(o.base), maxSends)
	case luck < 74: // on a version that another may make
		o.send(o.newChange(o.base+1+int64(o.randomBelow(3))), maxSends)
	case luck < 77 && o.mayAbandon():
		o.send(o.newChange(o.base), 2)
	case luck < 94:
		o.mu.Lock()
		n := len(o.changes)
		o.mu.Unlock()
		if n > 0 {
			i := o.randomBelow(n)
			o.mu.Lock()
			in := o.changes[i]
			o.mu.Unlock()
			o.send(in, maxSends)
		}
	default:
		o.changeLeader()
	}
	o.sleepUpTo(100 * time.Millisecond)
}

// runOperators has eight operators act side by side, and gives the system when
// all is over.
func runOperators(t *testing.T, seed int64, fault plantedFault, acts int) *testCluster {
	c := newTestCluster(seed, fault)
	synctest.Test(t, func(t *testing.T) {
		var servers []*Server
		for range 3 {
			servers = append(servers, newTestServer(c.callLeader))
		}
		var group sync.WaitGroup
		for n := range 8 {
			group.Go(func() {
				o := &operator{testCluster: c, number: n, servers: servers}
				// So that one seed gives one history: no two act at an instant.
				time.Sleep(time.Duration(n+1) * time.Microsecond)
				for range acts {
					o.act()
				}
			})
		}
		group.Wait()
		time.Sleep(3 * time.Second) // late copies
		for range 8 {
			(&operator{testCluster: c, number: 8, servers: servers}).read()
		}
	})
	return c
}

// check compares a history with the model, and the replicas with each other.
func (c *testCluster) check() string {
	if !porcupine.CheckOperations(registerModel, c.history) {
		return "the history is not linearizable"
	}
	for i := range c.replicas {
		c.catchUp(i)
		if !reflect.DeepEqual(c.replicas[i].Configuration, c.replicas[0].Configuration) ||
			!reflect.DeepEqual(c.replicas[i].ConfigurationHistory, c.replicas[0].ConfigurationHistory) {
			return fmt.Sprintf("replica %d differs from the first", i)
		}
	}
	return ""
}

// TestOperatorHistoriesAreLinearizable: whatever is lost, late, sent again or
// raced for, the answers are those of one register with conditional writes.
func TestOperatorHistoriesAreLinearizable(t *testing.T) {
	for seed := range int64(12) {
		c := runOperators(t, seed, noFault, 30)
		if why := c.check(); why != "" {
			t.Errorf("seed %d: %s", seed, why)
		}
		if c.replicas[0].Configuration.Version < 10 || len(c.history) < 150 {
			t.Errorf("seed %d: only %d calls, version %d", seed, len(c.history), c.replicas[0].Configuration.Version)
		}
	}
}

// TestHistoryCheckFindsPlantedFaults: each break is found under most seeds.
func TestHistoryCheckFindsPlantedFaults(t *testing.T) {
	for _, fault := range []plantedFault{bothRacersAccepted, staleRead, resendRejected, rejectedAccepted, recordsLost} {
		found := 0
		const seeds = 6
		for seed := range int64(seeds) {
			if runOperators(t, seed, fault, 30).check() != "" {
				found++
			}
		}
		t.Logf("%s: found under %d of %d seeds", fault, found, seeds)
		if found < seeds/2 {
			t.Errorf("%s: found under %d of %d seeds", fault, found, seeds)
		}
	}
}
