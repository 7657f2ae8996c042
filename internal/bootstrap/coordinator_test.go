package bootstrap

import (
	"fmt"
	"testing"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
)

// TestExactlyOneClusterIsBootstrapped checks that exactly one cluster with an odd number of voters is formed, and
// that all candidates belong to it or know of it. The model varies the number of candidates and the order
// in which they and the seeds start, loses responses, restarts candidates, and lets a seed lose its state.
func TestExactlyOneClusterIsBootstrapped(t *testing.T) {
	for seed := range int64(1500) {
		model := newBootstrapModel(seed)
		sets := model.run(60 * time.Second)
		if len(sets) != 1 {
			t.Errorf("seed %d, %d candidates: %d clusters were formed", seed, len(model.candidates), len(sets))
		}
		for _, size := range sets {
			if size%2 == 0 {
				t.Errorf("seed %d, %d candidates: %d voters", seed, len(model.candidates), size)
			}
		}
		for _, candidate := range model.candidates {
			if !candidate.member && !candidate.leftOut && !candidate.newcomer {
				t.Errorf("seed %d, %d candidates: %s is in no cluster; bound to %v", seed, len(model.candidates), candidate.voter.Node, candidate.bound)
			}
		}
	}
}

// TestCoordinatorCountsEachIdentifiedMachineOnce checks that a candidate without an identity, because its disk
// is not open yet, is not counted, and that one that restarts with another disk
// before the cluster is formed replaces its earlier announcement.
func TestCoordinatorCountsEachIdentifiedMachineOnce(t *testing.T) {
	coordinator := Coordinator{MinVoters: 3}
	now := time.Unix(1000, 0)
	announce := func(machines ...[2]string) rpc.BootstrapProposal {
		var proposal rpc.BootstrapProposal
		for range 20 {
			now = now.Add(AnnounceInterval)
			for _, machine := range machines {
				proposal = coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{Node: machine[0], ID: machine[1]}}, now)
			}
		}
		return proposal
	}
	coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{Node: "a", ID: "a1"}}, now)
	if proposal := announce([2]string{"a", "a2"}, [2]string{"b", "b1"}, [2]string{"c", ""}); len(proposal.Voters) != 0 {
		t.Fatalf("two identified machines, proposed %v", proposal.Voters)
	}
	if proposal := announce([2]string{"a", "a2"}, [2]string{"b", "b1"}, [2]string{"c", "c1"}); len(proposal.Voters) != 3 || proposal.Voters[0].ID != "a2" {
		t.Errorf("proposed %v", proposal.Voters)
	}
}

// TestRestartedCandidatesFormNoCluster checks that candidates with empty disks, however many there are, form no
// cluster if none of them runs for the first time: the system as a whole is not
// starting for the first time then.
func TestRestartedCandidatesFormNoCluster(t *testing.T) {
	now := time.Unix(1000, 0)
	coordinator := Coordinator{MinVoters: 3}
	for range 100 {
		now = now.Add(AnnounceInterval)
		for i := range 6 {
			if proposal := coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{ID: fmt.Sprint("d", i)}, NotFirstStart: true}, now); len(proposal.Voters) != 0 {
				t.Fatalf("proposed a cluster of %d voters, want none", len(proposal.Voters))
			}
		}
	}
}

// TestProposalExcludesExpiredCandidates checks that the first cluster does not wait for a machine that
// announced itself and then failed.
func TestProposalExcludesExpiredCandidates(t *testing.T) {
	now := time.Unix(1000, 0)
	coordinator := Coordinator{MinVoters: 3}
	coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{ID: "gone"}}, now)
	var proposal rpc.BootstrapProposal
	for range 20 {
		now = now.Add(AnnounceInterval)
		for i := range 2 {
			proposal = coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{ID: fmt.Sprint("d", i)}}, now)
		}
	}
	if len(proposal.Voters) != 0 {
		t.Fatalf("proposed a cluster of %d voters with two live candidates", len(proposal.Voters))
	}
	for range 20 {
		now = now.Add(AnnounceInterval)
		for i := range 3 {
			proposal = coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{ID: fmt.Sprint("d", i)}}, now)
		}
	}
	if len(proposal.Voters) != 3 || proposal.Voters[0].ID != "d0" {
		t.Errorf("proposed %v", proposal.Voters)
	}
}

// TestOddNumberOfVotersIsProposed checks that one of an even number of candidates is left out, the
// same one for every caller, so the proposal that it receives does not include it.
func TestOddNumberOfVotersIsProposed(t *testing.T) {
	for candidates, want := range map[int]int{3: 3, 4: 3, 5: 5, 6: 5, 7: 7, 8: 7} {
		coordinator := Coordinator{MinVoters: 3}
		now := time.Unix(1000, 0)
		var proposal rpc.BootstrapProposal
		for range 20 {
			now = now.Add(AnnounceInterval)
			for i := range candidates {
				proposal = coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{ID: fmt.Sprint("d", i)}}, now)
			}
		}
		if len(proposal.Voters) != want || proposal.Voters[want-1].ID != fmt.Sprint("d", want-1) {
			t.Errorf("%d candidates: proposed %v", candidates, proposal.Voters)
		}
	}
}
