package server

import (
	"testing"

	"github.com/go-kit/log"

	"tealpond/internal/daemon"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
)

// TestRestartedCandidateBindsToItsBootstrapSet: a candidate that was ended before it
// bound itself comes back with firstStart false. The set that names it waits for
// it; it must bind itself, and not stand by until a cluster takes it in.
func TestRestartedCandidateBindsToItsBootstrapSet(t *testing.T) {
	config := settings.File{NodeName: "a", DataDir: t.TempDir(), LossCounts: true, IPAddress: "10.0.0.1", InnerPortRange: []int{7720, 7721}}
	replica, err := New(daemon.Environment{Settings: config, Log: log.NewNopLogger()}, nil)
	if err != nil {
		t.Fatal(err)
	}
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
