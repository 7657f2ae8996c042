package raft

import (
	"bytes"
	"testing"
	"time"
)

// boundLargeAppends gives all members a bound on large appends.
func (c *testCluster) boundLargeAppends() {
	for _, node := range c.nodes {
		node.config.MaxLargeAppendBytes, node.config.LargeAppendTimeout = 128<<10, 400*time.Millisecond
	}
}

// large is a command that alone reaches the bound.
func large(mark byte) []byte { return bytes.Repeat([]byte{mark}, 128<<10) }

// told counts the members that were sent the whole log.
func (n *Node) told() (count int) {
	for _, peer := range n.peers {
		if peer.next > n.LastIndex() {
			count++
		}
	}
	return count
}

// TestLargeAppendsGoOneAfterTheOther: the second member is sent one once the first has it;
// meanwhile the others get heartbeats without entries.
func TestLargeAppendsGoOneAfterTheOther(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b", "c", "d", "e")
	c.boundLargeAppends()
	c.commit("1")
	leader := c.leader()
	for _, id := range c.others(leader) {
		c.untilAcknowledged(leader, id)
	}
	mustPropose(t, leader, large('2'))
	leader.replicate()
	if told := leader.told(); told != 1 {
		t.Fatalf("%d members are sent it at once", told)
	}
	leader.pending.Messages = nil // all of it is under way for long
	for _, peer := range leader.peers {
		if peer.next <= leader.LastIndex() {
			peer.lastSend = leader.now.Add(-time.Second)
		}
	}
	leader.tickLeader()
	heartbeats := 0
	for _, message := range leader.pending.Messages {
		if message.Kind == MsgAppend && len(message.Entries) == 0 && message.SendStamp != 0 && message.LogTerm != noEntryTerm {
			heartbeats++
		}
	}
	if heartbeats != 3 {
		t.Errorf("%d heartbeats without entries, want 3", heartbeats)
	}
}

// TestLargeAppendReachesAll: also if one member is cut off, which holds nobody up for long,
// and small appends wait for none.
func TestLargeAppendReachesAll(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		c := newTestCluster(t, seed, "a", "b", "c", "d", "e")
		c.boundLargeAppends()
		c.commit("1")
		leader := c.leader()
		others := c.others(leader)
		for _, id := range others {
			c.untilAcknowledged(leader, id)
		}
		c.cut[leader.ID()+">"+others[0]], c.cut[others[0]+">"+leader.ID()] = true, true
		startedAt, term := c.now, leader.Term()
		mustPropose(t, leader, large('2'))
		mustPropose(t, leader, large('3'))
		mustPropose(t, leader, []byte("4"))
		c.until("the others have all", func() bool {
			for _, id := range others[1:] {
				if leader.peers[id].match < leader.LastIndex() {
					return false
				}
			}
			return true
		})
		if took := c.now.Sub(startedAt); took > 2*time.Second || leader.Term() != term {
			t.Errorf("seed %d: after %v, in term %d after %d", seed, took, leader.Term(), term)
		}
		c.cut[leader.ID()+">"+others[0]], c.cut[others[0]+">"+leader.ID()] = false, false
		c.until("all have all", func() bool {
			current := c.leader()
			return current != nil && current.peers[others[0]] != nil && current.peers[others[0]].match == current.LastIndex()
		})
	}
}

// TestBulkBoundFollowsTheLinks: once a large append was delivered quickly, all members are sent
// the next ones at once; one that took long, or long ago, leaves the bound as it is.
func TestBulkBoundFollowsTheLinks(t *testing.T) {
	for name, link := range map[string]struct {
		delivery, idle time.Duration // of the first append; from its acknowledgement to the next
		told           int           // members that are sent the next append at once
	}{
		"wide":          {5 * time.Millisecond, 50 * time.Millisecond, 4},
		"narrow":        {200 * time.Millisecond, 50 * time.Millisecond, 1},
		"wide long ago": {5 * time.Millisecond, 2 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 1, "a", "b", "c", "d", "e")
			c.boundLargeAppends()
			c.commit("1")
			leader := c.leader()
			leader.config.MaxLargeAppendDelay = 100 * time.Millisecond
			for _, id := range c.others(leader) {
				c.untilAcknowledged(leader, id)
			}
			mustPropose(t, leader, large('2'))
			leader.replicate()
			leader.pending.Messages = nil
			for _, peer := range leader.peers {
				if len(peer.largeAppends.appends) > 0 {
					sent := peer.largeAppends.appends[0]
					leader.now = sent.sentAt.Add(link.delivery)
					peer.match, peer.lastContact = sent.lastIndex, leader.now
					leader.recordLargeAppendAcked(peer, sent.stamp)
				}
			}
			leader.now = leader.now.Add(link.idle)
			for _, peer := range leader.peers {
				peer.match, peer.next, peer.lastContact = leader.LastIndex(), leader.LastIndex()+1, leader.now
			}
			mustPropose(t, leader, large('3'))
			leader.replicate()
			if told := leader.told(); told != link.told {
				t.Errorf("%d members are sent it at once, want %d", told, link.told)
			}
		})
	}
}
