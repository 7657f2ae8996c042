package raft

import (
	"testing"
	"time"
)

func TestOwnVoteCountsOnlyAfterSync(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New("a", HardState{Term: 1}, Snapshot{Index: 1, Voters: []Member{testMember("a")}}, nil, now, testConfig, 1)
	n.Tick(now.Add(time.Minute))
	o := n.Ready()
	if o.HardState == nil || n.IsLeader() {
		t.Fatal("leads a term that its disk may forget, and could vote in once more")
	}
	if n.WriteSynced(o.WriteToken); !n.IsLeader() {
		t.Fatal("does not lead with its own vote on disk")
	}
}

func TestPreCandidateGrantsVotes(t *testing.T) {
	n := followerWith(1)
	n.receive(Message{Kind: MsgPreVoteResponse, From: "c", Term: 5, Reject: true})
	n.Tick(n.now.Add(time.Minute))
	if n.role != preCandidate || n.Term() != 5 {
		t.Fatal("not the case that is meant")
	}
	n.receive(Message{Kind: MsgVote, From: "c", Term: 5, Index: 1})
	o := n.Ready()
	for _, m := range o.MessagesAfterSync {
		if m.Kind == MsgVoteResponse && !m.Reject && o.HardState != nil && o.HardState.Vote == "c" {
			// Late answers to its own question count no more.
			n.receive(Message{Kind: MsgPreVoteResponse, From: "a", Term: 6})
			if n.Term() != 5 {
				t.Fatal("runs against the one whom it voted for")
			}
			return
		}
	}
	t.Fatal("keeps back a vote that it has promised to nobody")
}

// TestRepeatedVoteIsNotPersistedAgain, but still waits for the first write.
func TestRepeatedVoteIsNotPersistedAgain(t *testing.T) {
	n := followerWith(1)
	n.now = n.now.Add(time.Minute)
	ask := Message{Kind: MsgVote, From: "c", Term: 5, Index: 1}
	n.receive(ask)
	if o := n.Ready(); o.HardState == nil {
		t.Fatal("no vote")
	}
	n.receive(ask)
	if o := n.Ready(); o.HardState != nil || len(o.Messages) > 0 || len(o.MessagesAfterSync) != 1 {
		t.Fatalf("out %+v", o)
	}
}
