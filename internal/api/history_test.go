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

// injectedFault is a defect that is injected to show that the check detects it.
type injectedFault string

const (
	noFault                injectedFault = ""
	bothConcurrentAccepted injectedFault = "both of two concurrent changes confirmed"
	staleRead              injectedFault = "a read returned an old version"
	resentRejected         injectedFault = "a resent change rejected"
	rejectedAccepted       injectedFault = "a rejected change accepted later"
	changeRecordsLost      injectedFault = "change records missing from the snapshot"
)

// testCluster replaces consensus and the network between the daemons' front ends and the replicas
// of the state. It has one log of commands, changing leaders, restarts from a snapshot, and
// requests and responses that are lost or delayed.
type testCluster struct {
	mu               sync.Mutex
	random           *rand.Rand
	fault            injectedFault
	log              [][]byte
	replicas         []*state.Store
	applied          []int
	leader           int
	configsInForce   []string // every configuration that was ever in force
	ticks            int64    // logical time that orders the ends of calls
	history          []porcupine.Operation
	changes          []callInput
	abandonedChanges int
}

func newTestCluster(seed int64, fault injectedFault) *testCluster {
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

func (c *testCluster) sleepUpTo(limit time.Duration) {
	time.Sleep(time.Duration(1 + c.randomBelow(int(limit))))
}

// catchUp applies the entries that a replica lacks and returns the last outcome.
func (c *testCluster) catchUp(replica int) state.Outcome {
	var last state.Outcome
	for _, entry := range c.log[c.applied[replica]:] {
		last = c.replicas[replica].ApplyEntry(c.replicas[replica].AppliedIndex+1, entry)[0]
	}
	c.applied[replica] = len(c.log)
	return last
}

// commit appends a change to the log and returns the response of the leader's replica.
func (c *testCluster) commit(update rpc.ConfigUpdate) rpc.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	command := &state.ReplaceConfiguration{BaseVersion: update.BaseVersion, Raw: update.Raw}
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
	case c.fault == bothConcurrentAccepted && outcome.Code == 412 && c.random.Intn(4) == 0,
		c.fault == resentRejected && outcome.Text == "known":
		outcome.Code = 200 + 412 - outcome.Code // swaps 200 and 412
	}
	if outcome.Code == 200 {
		c.configsInForce = append(c.configsInForce, string(update.Raw))
	}
	return rpc.Response{Code: rpc.Code(outcome.Code), Text: outcome.Text, Value: outcome.Value}
}

// read returns the configuration of the leader's replica.
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

// changeLeader selects a new leader at random. The new leader catches up from its own state or
// from a snapshot of another replica.
func (c *testCluster) changeLeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.random.Intn(len(c.replicas))
	if from := c.random.Intn(len(c.replicas)); c.applied[from] >= c.applied[next] {
		if c.fault == changeRecordsLost {
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

// callLeader simulates a daemon's request to the leader.
func (c *testCluster) callLeader(_ context.Context, request rpc.Request) rpc.Response {
	c.sleepUpTo(20 * time.Millisecond)
	roll := c.randomBelow(100)
	if roll < 5 {
		return rpc.Response{Code: rpc.CodeNoLeader}
	}
	var answer rpc.Response
	if request.Kind == rpc.KindGetConfig {
		answer = c.read()
	} else {
		var update rpc.ConfigUpdate
		if err := cbor.Unmarshal(request.Body, &update); err != nil {
			panic(err)
		}
		switch {
		case roll < 15: // the request is lost
			return rpc.Response{Code: rpc.CodeTimeout}
		case roll < 30: // delayed until after the sender's retry
			delay := time.Duration(1 + c.randomBelow(int(2*time.Second)))
			go func() {
				time.Sleep(delay)
				c.commit(update)
			}()
			return rpc.Response{Code: rpc.CodeTimeout}
		}
		answer = c.commit(update)
	}
	c.sleepUpTo(20 * time.Millisecond)
	if roll > 85 { // the response is lost
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

// recordCall adds a call to the history. A call whose outcome is unknown has no end.
func (c *testCluster) recordCall(client int, in callInput, out callOutput, startedAt int64) {
	endedAt := c.tick()
	if out.code == 0 {
		endedAt = 1 << 60
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: startedAt, Return: endedAt,
	})
}

// operator makes changes through any of the daemons.
type operator struct {
	*testCluster
	number  int
	servers []*Server
	base    int64 // newest known version
}

func (o *operator) anyServer() *Server { return o.servers[o.randomBelow(len(o.servers))] }

// read sends reads until one succeeds.
func (o *operator) read() {
	for range 20 {
		startedAt := o.tick()
		got := readConfig(o.anyServer())
		if got.Code == http.StatusOK {
			text := got.Body.String()
			o.recordCall(o.number, callInput{}, callOutput{200, text}, startedAt)
			_, _ = fmt.Sscanf(text, `{"configVersion":%d`, &o.base)
			return
		}
		o.sleepUpTo(100 * time.Millisecond)
	}
}

// send sends the same change unmodified to any daemon until the outcome is known.
func (o *operator) send(in callInput, tries int) {
	startedAt := o.tick()
	for range tries {
		got := replaceConfig(o.anyServer(), fmt.Sprint(in.base), in.text)
		if got.Code < 500 {
			o.recordCall(o.number, in, callOutput{code: got.Code}, startedAt)
			if got.Code == http.StatusOK {
				o.base = max(o.base, in.version)
			}
			return
		}
		o.sleepUpTo(200 * time.Millisecond)
	}
	o.recordCall(o.number, in, callOutput{}, startedAt)
}

// newChange returns a new change. Operators may choose the same version, even the same text.
func (o *operator) newChange(base int64) callInput {
	in := callInput{base: base, version: base + 1 + int64(o.randomBelow(3))}
	in.text = fmt.Sprintf(`{"configVersion":%d,"routeList":[{"name":"r%d","hostName":"h","pathPrefix":"/p/",`+
		`"timeoutMs":1000,"targetService":"s"}],"serviceList":[{"name":"s"}]}`, in.version, o.randomBelow(3))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, in)
	return in
}

// maxSends is how often a change is sent by an operator that waits for a known outcome.
const maxSends = 30

// mayAbandon lets a few changes be abandoned without a known outcome. Each may take effect at any
// later time, which makes the search of the linearizability check long.
func (o *operator) mayAbandon() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.abandonedChanges++
	return o.abandonedChanges <= 6
}

func (o *operator) performAction() {
	switch roll := o.randomBelow(100); {
	case roll < 30:
		o.read()
	case roll < 70:
		o.send(o.newChange(o.base), maxSends)
	case roll < 74: // based on a version that another operator may create
		o.send(o.newChange(o.base+1+int64(o.randomBelow(3))), maxSends)
	case roll < 77 && o.mayAbandon():
		o.send(o.newChange(o.base), 2)
	case roll < 94:
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

// runOperators runs eight operators concurrently and returns the cluster when all have finished.
func runOperators(t *testing.T, seed int64, fault injectedFault, actions int) *testCluster {
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
				// No two operators act at the same instant, so that a seed always gives the
				// same history.
				time.Sleep(time.Duration(n+1) * time.Microsecond)
				for range actions {
					o.performAction()
				}
			})
		}
		group.Wait()
		time.Sleep(3 * time.Second) // delayed requests
		for range 8 {
			(&operator{testCluster: c, number: 8, servers: servers}).read()
		}
	})
	return c
}

// check checks the history against the model and compares the replicas with each other. It returns
// what is wrong, or an empty string.
func (c *testCluster) check() string {
	if !porcupine.CheckOperations(registerModel, c.history) {
		return "the history is not linearizable"
	}
	for i := range c.replicas {
		c.catchUp(i)
		if !reflect.DeepEqual(c.replicas[i].Configuration, c.replicas[0].Configuration) ||
			!reflect.DeepEqual(c.replicas[i].ConfigurationHistory, c.replicas[0].ConfigurationHistory) {
			return fmt.Sprintf("replica %d differs from replica 0", i)
		}
	}
	return ""
}

// TestOperatorHistoriesAreLinearizable checks that the responses are those of one register with
// conditional writes, even if requests and responses are lost, delayed, resent or concurrent.
func TestOperatorHistoriesAreLinearizable(t *testing.T) {
	for seed := range int64(12) {
		c := runOperators(t, seed, noFault, 30)
		if problem := c.check(); problem != "" {
			t.Errorf("seed %d: %s", seed, problem)
		}
		if c.replicas[0].Configuration.Version < 10 || len(c.history) < 150 {
			t.Errorf("seed %d: %d calls, version %d; want at least 150 calls and version 10",
				seed, len(c.history), c.replicas[0].Configuration.Version)
		}
	}
}

// TestHistoryCheckDetectsInjectedFaults checks that each injected fault is detected with at least
// half of the seeds.
func TestHistoryCheckDetectsInjectedFaults(t *testing.T) {
	for _, fault := range []injectedFault{
		bothConcurrentAccepted, staleRead, resentRejected, rejectedAccepted, changeRecordsLost,
	} {
		detected := 0
		const seeds = 6
		for seed := range int64(seeds) {
			if runOperators(t, seed, fault, 30).check() != "" {
				detected++
			}
		}
		t.Logf("%s: detected with %d of %d seeds", fault, detected, seeds)
		if detected < seeds/2 {
			t.Errorf("%s: detected with %d of %d seeds", fault, detected, seeds)
		}
	}
}
