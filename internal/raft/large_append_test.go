package raft

import (
	"bytes"
	"testing"
	"time"
)

// limitLargeAppends configures the limit on large appends on all members.
func (c *testCluster) limitLargeAppends() {
	for _, node := range c.nodes {
		node.config.MaxLargeAppendBytes, node.config.LargeAppendTimeout = 128<<10, 400*time.Millisecond
	}
}

// largeCommand returns a command that alone reaches the limit.
func largeCommand(fill byte) []byte { return bytes.Repeat([]byte{fill}, 128<<10) }

// peersSentWholeLog returns the number of members that were sent the whole log.
func (n *Node) peersSentWholeLog() (count int) {
	for _, peer := range n.peers {
		if peer.next > n.LastIndex() {
			count++
		}
	}
	return count
}

// TestLargeAppendsAreSentOneAtATime checks that a large append is in flight to only one member, and
// that the others are sent heartbeats without entries meanwhile.
func TestLargeAppendsAreSentOneAtATime(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b", "c", "d", "e")
	c.limitLargeAppends()
	c.commit("1")
	leader := c.leader()
	for _, id := range c.others(leader) {
		c.waitForAcknowledgement(leader, id)
	}
	mustPropose(t, leader, largeCommand('2'))
	leader.replicate()
	if peersSentWholeLog := leader.peersSentWholeLog(); peersSentWholeLog != 1 {
		t.Fatalf("append sent to %d members at the same time, want 1", peersSentWholeLog)
	}
	leader.pending.Messages = nil // the append stays in flight
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

// TestLargeAppendReachesAllMembers checks that large appends reach all members even if one is
// unreachable, which delays the others only briefly, and that small appends don't wait for large ones.
func TestLargeAppendReachesAllMembers(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		c := newTestCluster(t, seed, "a", "b", "c", "d", "e")
		c.limitLargeAppends()
		c.commit("1")
		leader := c.leader()
		others := c.others(leader)
		for _, id := range others {
			c.waitForAcknowledgement(leader, id)
		}
		c.cutLinks[leader.ID()+">"+others[0]], c.cutLinks[others[0]+">"+leader.ID()] = true, true
		startedAt, term := c.now, leader.Term()
		mustPropose(t, leader, largeCommand('2'))
		mustPropose(t, leader, largeCommand('3'))
		mustPropose(t, leader, []byte("4"))
		c.waitUntil("the reachable members have all entries", func() bool {
			for _, id := range others[1:] {
				if leader.peers[id].match < leader.LastIndex() {
					return false
				}
			}
			return true
		})
		if took := c.now.Sub(startedAt); took > 2*time.Second || leader.Term() != term {
			t.Errorf("seed %d: took %v, term %d, started in term %d", seed, took, leader.Term(), term)
		}
		c.cutLinks[leader.ID()+">"+others[0]], c.cutLinks[others[0]+">"+leader.ID()] = false, false
		c.waitUntil("the unreachable member has all entries again", func() bool {
			current := c.leader()
			return current != nil && current.peers[others[0]] != nil && current.peers[others[0]].match == current.LastIndex()
		})
	}
}

// TestLargeAppendLimitFollowsLinkRate checks that after a large append was delivered quickly, the next
// one is sent to all members at the same time. A slow delivery, or one long ago, doesn't raise the limit.
func TestLargeAppendLimitFollowsLinkRate(t *testing.T) {
	for name, link := range map[string]struct {
		delivery, idle    time.Duration // delivery time of the first append; time from its acknowledgement to the next
		peersSentWholeLog int           // members that are sent the next append at the same time
	}{
		"fast":          {5 * time.Millisecond, 50 * time.Millisecond, 4},
		"slow":          {200 * time.Millisecond, 50 * time.Millisecond, 1},
		"fast long ago": {5 * time.Millisecond, 2 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 1, "a", "b", "c", "d", "e")
			c.limitLargeAppends()
			c.commit("1")
			leader := c.leader()
			leader.config.MaxLargeAppendDelay = 100 * time.Millisecond
			for _, id := range c.others(leader) {
				c.waitForAcknowledgement(leader, id)
			}
			mustPropose(t, leader, largeCommand('2'))
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
			mustPropose(t, leader, largeCommand('3'))
			leader.replicate()
			if peersSentWholeLog := leader.peersSentWholeLog(); peersSentWholeLog != link.peersSentWholeLog {
				t.Errorf("append sent to %d members at the same time, want %d", peersSentWholeLog, link.peersSentWholeLog)
			}
		})
	}
}
