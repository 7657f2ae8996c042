package server

import (
	"testing"

	"github.com/go-kit/log"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
)

// TestRestartedCandidateBindsToItsBootstrapSet: a candidate that was ended before it
// bound itself comes back with firstStart false. The set that names it waits for
// it; it must bind itself, and not stand by until a cluster takes it in.
func TestRestartedCandidateBindsToItsBootstrapSet(t *testing.T) {
	replica := New(testEnvironment(t.TempDir(), log.NewNopLogger()), nil)
	go replica.openStorage(t.Context())
	replica.handleEvent(t.Context(), <-replica.events)
	others := []raft.Member{{Node: "b", ID: "b"}, {Node: "c", ID: "c"}}
	replica.handleBootstrapProposal(rpc.BootstrapProposal{Voters: others, Start: true})
	if replica.node == nil || len(replica.node.Voters()) != 0 {
		t.Fatal("it didn't stand by beside a cluster that doesn't name it")
	}
	own := append([]raft.Member{replica.self}, others...)
	replica.handleBootstrapProposal(rpc.BootstrapProposal{Voters: own})
	if replica.node != nil || len(replica.persisted.Founders) != 3 {
		t.Fatalf("bound to %v", replica.persisted.Founders)
	}
	replica.handleBootstrapProposal(rpc.BootstrapProposal{Voters: own, Start: true})
	if replica.node == nil || len(replica.node.Voters()) != 3 {
		t.Fatal("it wasn't started as a voter")
	}
	replica.handleBootstrapProposal(rpc.BootstrapProposal{Voters: others, Start: true})
	if len(replica.node.Voters()) != 3 {
		t.Error("a voter let itself be talked out of its cluster")
	}
}
