package core

import (
	"testing"

	"github.com/go-kit/log"

	"tealpond/internal/kernel"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
)

// TestCandidateStartedAgainTakesItsPlace: a candidate that was ended before it
// bound itself comes back with firstStart false. The set that names it waits for
// it; it must bind itself, and not stand by until a core takes it in.
func TestCandidateStartedAgainTakesItsPlace(t *testing.T) {
	set := settings.File{NodeName: "a", DataDir: t.TempDir(), LossCounts: true, IPAddress: "10.0.0.1", InnerPortRange: []int{7720, 7721}}
	c, err := New(kernel.Base{Setting: set, Log: log.NewNopLogger()}, nil)
	if err != nil {
		t.Fatal(err)
	}
	go c.openDisk(t.Context())
	c.handle(t.Context(), <-c.events)
	others := []raft.Member{{Node: "b", ID: "b"}, {Node: "c", ID: "c"}}
	c.onProposal(rpc.BootstrapProposal{Voters: others, Start: true})
	if c.node == nil || len(c.node.Voters()) != 0 {
		t.Fatal("it didn't stand by beside a core that doesn't name it")
	}
	mine := append([]raft.Member{c.self}, others...)
	c.onProposal(rpc.BootstrapProposal{Voters: mine})
	if c.node != nil || len(c.held.Founders) != 3 {
		t.Fatalf("bound to %v", c.held.Founders)
	}
	c.onProposal(rpc.BootstrapProposal{Voters: mine, Start: true})
	if c.node == nil || len(c.node.Voters()) != 3 {
		t.Fatal("it wasn't started as a voter")
	}
	c.onProposal(rpc.BootstrapProposal{Voters: others, Start: true})
	if len(c.node.Voters()) != 3 {
		t.Error("a voter let itself be talked out of its core")
	}
}
