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
