package raft

import (
	"testing"
	"time"
)

func TestOwnVoteCountsOnlyAfterSync(t *testing.T) {
	now := time.Unix(1000, 0)
	node := New("a", HardState{Term: 1}, Snapshot{Index: 1, Voters: []Member{testMember("a")}}, nil, now, testConfig, 1)
	node.Tick(now.Add(time.Minute))
	ready := node.Ready()
	if ready.HardState == nil || node.IsLeader() {
		t.Fatal("leads before its own vote is on disk: after a crash it could vote again in the term")
	}
	if node.WriteSynced(ready.WriteToken); !node.IsLeader() {
		t.Fatal("not the leader with its own vote on disk")
	}
}

func TestPreCandidateGrantsVotes(t *testing.T) {
	node := newFollower(1)
	node.receive(Message{Kind: MsgPreVoteResponse, From: "c", Term: 5, Reject: true})
	node.Tick(node.now.Add(time.Minute))
	if node.role != preCandidate || node.Term() != 5 {
		t.Fatal("not a pre-candidate")
	}
	node.receive(Message{Kind: MsgVote, From: "c", Term: 5, Index: 1})
	ready := node.Ready()
	for _, message := range ready.MessagesAfterSync {
		if message.Kind == MsgVoteResponse && !message.Reject && ready.HardState != nil && ready.HardState.Vote == "c" {
			// Late responses to its own pre-vote requests are ignored.
			node.receive(Message{Kind: MsgPreVoteResponse, From: "a", Term: 6})
			if node.Term() != 5 {
				t.Fatal("campaigns after it voted for another candidate")
			}
			return
		}
	}
	t.Fatal("rejected a vote request, although it had not voted in the term")
}

// TestRepeatedVoteIsNotPersistedAgain checks that a repeated vote request causes no second
// write of the hard state, and that the second response still waits for the first write.
func TestRepeatedVoteIsNotPersistedAgain(t *testing.T) {
	node := newFollower(1)
	node.now = node.now.Add(time.Minute)
	request := Message{Kind: MsgVote, From: "c", Term: 5, Index: 1}
	node.receive(request)
	if ready := node.Ready(); ready.HardState == nil {
		t.Fatal("vote not persisted")
	}
	node.receive(request)
	if ready := node.Ready(); ready.HardState != nil || len(ready.Messages) > 0 || len(ready.MessagesAfterSync) != 1 {
		t.Fatalf("unexpected ready %+v", ready)
	}
}

// TestLeaderWithoutLeaseStepsDown checks that a leader steps down if responses arrive so late that it
// never has the lease, even though a majority keeps responding. A leader that has the lease at times
// keeps leading.
func TestLeaderWithoutLeaseStepsDown(t *testing.T) {
	lease := time.Duration(float64(testConfig.ElectionTimeout) * testConfig.LeaseFraction)
	for name, link := range map[string]struct {
		ackAge     func(tick int) time.Duration // age of the latest acknowledged append
		wantLeader bool
	}{
		"within the lease":          {func(int) time.Duration { return lease / 2 }, true},
		"at times within the lease": {func(tick int) time.Duration { return lease * time.Duration(tick%4) / 2 }, true},
		"after the lease":           {func(int) time.Duration { return lease + 100*time.Millisecond }, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 1, "a", "b", "c")
			c.commit("1")
			leader := c.leader()
			leader.config.LeaseLossTimeout = time.Second
			end := leader.now.Add(5 * time.Second)
			for tick := 0; leader.IsLeader() && leader.now.Before(end); tick++ {
				now := leader.now.Add(leader.config.HeartbeatInterval)
				for _, peer := range leader.peers {
					peer.lastAckedSend, peer.lastContact = now.Add(-link.ackAge(tick)), now
				}
				leader.Tick(now)
			}
			if leader.IsLeader() != link.wantLeader {
				t.Fatalf("leader after 5 s: %v", leader.IsLeader())
			}
			if maxElectionTimeout := testConfig.ElectionTimeout + testConfig.HeartbeatInterval + testConfig.ElectionJitter; !link.wantLeader && leader.electionTimeout <= maxElectionTimeout {
				t.Errorf("campaigns after %v, before the other members", leader.electionTimeout)
			}
		})
	}
}
