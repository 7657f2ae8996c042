package server

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/registry"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// publishRunnerList publishes a runner list, as the leader's own process does.
func (h *harness) publishRunnerList(list ...registry.Runner) {
	h.t.Helper()
	if response := h.call(rpc.KindPublishRunners, rpc.RunnerList{Runners: list}); response.Code != rpc.CodeOK {
		h.t.Fatalf("%+v", response)
	}
}

// watchRunners watches the runner list, and returns the delta and the time until the response.
func (h *harness) watchRunners(view *registry.View, configVersion int64) (registry.Delta, time.Duration) {
	h.t.Helper()
	watch := rpc.RunnerWatch{ConfigVersion: configVersion}
	known := view.Position()
	watch.Epoch, watch.Version, watch.Digest = known.Epoch, known.Version, known.Digest
	startedAt := time.Now()
	response := h.call(rpc.KindWatchRunners, watch)
	var update rpc.RunnerUpdate
	if response.Code != rpc.CodeOK || len(response.Body) > 0 && transport.Decode(response.Body, &update) != nil {
		h.t.Fatalf("%+v", response)
	}
	var delta registry.Delta
	if len(update.Delta) > 0 && transport.Decode(update.Delta, &delta) != nil {
		h.t.Fatalf("%+v", update)
	}
	return delta, time.Since(startedAt)
}

// TestRunnerWatchesReceiveChanges checks that a watch is answered at once if the daemon lacks a
// change, and otherwise at the next change or after runnerWatchWait.
func TestRunnerWatchesReceiveChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.configure()
		view := registry.NewView()
		if _, took := h.watchRunners(view, 7); took < runnerWatchWait {
			t.Errorf("answered after %v although there is no list", took)
		}
		h.publishRunnerList(registry.Runner{ID: "a", Service: "s"}, registry.Runner{ID: "b", Service: "s"})
		delta, took := h.watchRunners(view, 7)
		if view.Apply(delta); len(view.Runners()) != 2 || took >= runnerWatchWait {
			t.Errorf("%+v after %v", delta, took)
		}
		if _, took = h.watchRunners(view, 7); took < runnerWatchWait {
			t.Errorf("answered after %v without a change", took)
		}
		if _, took = h.watchRunners(view, 6); took >= runnerWatchWait {
			t.Errorf("answered after %v despite a new configuration", took)
		}
		h.publishRunnerList(registry.Runner{ID: "b", Service: "s", Draining: true})
		delta, _ = h.watchRunners(view, 7)
		if view.Apply(delta); len(delta.Removed) != 1 || len(view.Runners()) != 1 || !view.Runners()[0].Draining {
			t.Errorf("%+v", delta)
		}
	})
}

// TestRunnerWatchesAreRedirectedAfterLeadershipLoss checks that held watches are answered when
// another leader is elected.
func TestRunnerWatchesAreRedirectedAfterLeadershipLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.configure()
		var responses []rpc.Response
		body := transport.Encode(rpc.RunnerWatch{ConfigVersion: 7})
		h.replica.handleRequest(rpc.Request{Kind: rpc.KindWatchRunners, Body: body}, nil, func(response rpc.Response) { responses = append(responses, response) })
		// Another leader has been elected.
		h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: h.replica.node.Term() + 1})
		h.finishIteration()
		if len(responses) != 1 || responses[0].Code == rpc.CodeOK {
			t.Errorf("%+v", responses)
		}
	})
}

// TestHealthIsSentLessOftenInLargeFleets checks that the runners' health is updated with each
// reading of the list in fleets of a hundred daemons, and only every several seconds with three
// hundred daemons and thousands of runners.
func TestHealthIsSentLessOftenInLargeFleets(t *testing.T) {
	for _, test := range []struct {
		daemons, runners, zones  int
		minInterval, maxInterval time.Duration
	}{
		{95, 330, 4, 0, 700 * time.Millisecond},
		{76, 258, 5, 0, 700 * time.Millisecond},
		{299, 2999, 5, 5 * time.Second, 20 * time.Second},
		{1, 0, 0, 0, 0},
	} {
		replica := newReplica()
		replica.runnerList.positions = map[string]daemonPosition{}
		for i := range test.daemons {
			replica.runnerList.positions[fmt.Sprint("d", i)] = daemonPosition{}
		}
		list := make([]registry.Runner, test.runners)
		for i := range list {
			list[i].Zone = fmt.Sprint("z", i%test.zones)
		}
		if interval := replica.healthInterval(list); interval < test.minInterval || interval > test.maxInterval {
			t.Errorf("%d daemons, %d runners: interval %v", test.daemons, test.runners, interval)
		}
	}
}
