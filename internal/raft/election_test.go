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
