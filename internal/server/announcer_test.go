package server

import (
	"testing"

	"github.com/go-kit/log"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
)

// TestRestartedCandidateBindsToItsBootstrapSet guards against a bootstrap that never completes: a
// candidate was stopped before it bound itself to the proposed set, and restarts with firstStart
// false. The set that names it waits for it, so it must bind itself instead of waiting until a
// cluster accepts it as a member.
func TestRestartedCandidateBindsToItsBootstrapSet(t *testing.T) {
	replica := New(testEnvironment(t.TempDir(), log.NewNopLogger()), nil)
	go replica.openStorage(t.Context())
	replica.handleEvent(t.Context(), <-replica.events)
	others := []raft.Member{{Node: "b", ID: "b"}, {Node: "c", ID: "c"}}
	replica.handleBootstrapProposal(rpc.BootstrapProposal{Voters: others, Start: true})
	if replica.node == nil || len(replica.node.Voters()) != 0 {
		t.Fatal("the candidate did not wait as a non-voter of a cluster that doesn't name it")
	}
	own := append([]raft.Member{replica.self}, others...)
	replica.handleBootstrapProposal(rpc.BootstrapProposal{Voters: own})
	if replica.node != nil || len(replica.persisted.Founders) != 3 {
		t.Fatalf("bound to %v, want the three voters of the proposal", replica.persisted.Founders)
	}
	replica.handleBootstrapProposal(rpc.BootstrapProposal{Voters: own, Start: true})
	if replica.node == nil || len(replica.node.Voters()) != 3 {
		t.Fatal("the candidate was not started as a voter of the set that names it")
	}
	replica.handleBootstrapProposal(rpc.BootstrapProposal{Voters: others, Start: true})
	if len(replica.node.Voters()) != 3 {
		t.Error("a proposal of another set changed the voters of a started cluster")
	}
}
