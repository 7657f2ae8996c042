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
		t.Fatal("leads a term that its disk may forget, and could vote in once more")
	}
	if node.WriteSynced(ready.WriteToken); !node.IsLeader() {
		t.Fatal("does not lead with its own vote on disk")
	}
}

func TestPreCandidateGrantsVotes(t *testing.T) {
	node := followerWith(1)
	node.receive(Message{Kind: MsgPreVoteResponse, From: "c", Term: 5, Reject: true})
	node.Tick(node.now.Add(time.Minute))
	if node.role != preCandidate || node.Term() != 5 {
		t.Fatal("the node is not a pre-candidate")
	}
	node.receive(Message{Kind: MsgVote, From: "c", Term: 5, Index: 1})
	ready := node.Ready()
	for _, message := range ready.MessagesAfterSync {
		if message.Kind == MsgVoteResponse && !message.Reject && ready.HardState != nil && ready.HardState.Vote == "c" {
			// Late responses to its own requests no longer count.
			node.receive(Message{Kind: MsgPreVoteResponse, From: "a", Term: 6})
			if node.Term() != 5 {
				t.Fatal("campaigns against the candidate that it voted for")
			}
			return
		}
	}
	t.Fatal("withholds a vote that it has promised to nobody")
}

// TestRepeatedVoteIsNotPersistedAgain: the second response still waits for the first write.
func TestRepeatedVoteIsNotPersistedAgain(t *testing.T) {
	node := followerWith(1)
	node.now = node.now.Add(time.Minute)
	request := Message{Kind: MsgVote, From: "c", Term: 5, Index: 1}
	node.receive(request)
	if ready := node.Ready(); ready.HardState == nil {
		t.Fatal("no vote")
	}
	node.receive(request)
	if ready := node.Ready(); ready.HardState != nil || len(ready.Messages) > 0 || len(ready.MessagesAfterSync) != 1 {
		t.Fatalf("ready %+v", ready)
	}
}

// TestLeaderHeardTooLateStepsDown: a leader whose messages take so long that it never has the
// lease gives way to another one, though a majority answers it all the while; one that has the
// lease now and then stays.
func TestLeaderHeardTooLateStepsDown(t *testing.T) {
	lease := time.Duration(float64(testConfig.ElectionTimeout) * testConfig.LeaseFraction)
	for name, link := range map[string]struct {
		late  func(tick int) time.Duration // the age of the newest message that was answered
		stays bool
	}{
		"in time":      {func(int) time.Duration { return lease / 2 }, true},
		"now and then": {func(tick int) time.Duration { return lease * time.Duration(tick%4) / 2 }, true},
		"too late":     {func(int) time.Duration { return lease + 100*time.Millisecond }, false},
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
					peer.lastAckedSend, peer.lastContact = now.Add(-link.late(tick)), now
				}
				leader.Tick(now)
			}
			if leader.IsLeader() != link.stays {
				t.Fatalf("it leads: %v", leader.IsLeader())
			}
			if others := testConfig.ElectionTimeout + testConfig.HeartbeatInterval + testConfig.ElectionJitter; !link.stays && leader.electionTimeout <= others {
				t.Errorf("it campaigns after %v, before others do", leader.electionTimeout)
			}
		})
	}
}
