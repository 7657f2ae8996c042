package raft

import (
	"testing"
	"time"
)

func TestOwnVoteCountsOnceItIsSynced(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New("a", Hard{Term: 1}, Point{Index: 1, Conf: []Voter{testVoter("a")}}, nil, now, testTiming, 1)
	n.Tick(now.Add(time.Minute))
	o := n.Take()
	if o.Hard == nil || n.Leads() {
		t.Fatal("leads a term that its disk may forget, and could vote in once more")
	}
	if n.Synced(o.Mark); !n.Leads() {
		t.Fatal("does not lead with its own vote on disk")
	}
}

func TestVotesWhileItAsksAroundForItself(t *testing.T) {
	n := followerWith(1)
	n.give(Msg{Kind: MsgPreVoteAnswer, From: "c", Term: 5, Reject: true})
	n.Tick(n.now.Add(time.Minute))
	if n.role != preCandidate || n.Term() != 5 {
		t.Fatal("not the case that is meant")
	}
	n.give(Msg{Kind: MsgVote, From: "c", Term: 5, Index: 1})
	o := n.Take()
	for _, m := range o.After {
		if m.Kind == MsgVoteAnswer && !m.Reject && o.Hard != nil && o.Hard.Vote == "c" {
			// Late answers to its own question count no more.
			n.give(Msg{Kind: MsgPreVoteAnswer, From: "a", Term: 6})
			if n.Term() != 5 {
				t.Fatal("runs against the one whom it voted for")
			}
			return
		}
	}
	t.Fatal("keeps back a vote that it has promised to nobody")
}

// TestSecondVoteForTheSameIsNotWrittenAgain, but still waits for the first write.
func TestSecondVoteForTheSameIsNotWrittenAgain(t *testing.T) {
	n := followerWith(1)
	n.now = n.now.Add(time.Minute)
	ask := Msg{Kind: MsgVote, From: "c", Term: 5, Index: 1}
	n.give(ask)
	if o := n.Take(); o.Hard == nil {
		t.Fatal("no vote")
	}
	n.give(ask)
	if o := n.Take(); o.Hard != nil || len(o.Now) > 0 || len(o.After) != 1 {
		t.Fatalf("out %+v", o)
	}
}
