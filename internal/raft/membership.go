package raft

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

type configuration struct {
	index  uint64
	voters []Voter
}

func (n *Node) noteConfiguration(e Entry) {
	if e.Kind != EntryConf {
		return
	}
	var voters []Voter
	if err := cbor.Unmarshal(e.Data, &voters); err != nil {
		panic("raft: conf entry unreadable: " + err.Error())
	}
	n.configurations = append(n.configurations, configuration{e.Index, voters})
}

// Voters are those of the newest conf in the log.
func (n *Node) Voters() []Voter { return n.configurations[len(n.configurations)-1].voters }

// ConfIndex is the entry of the newest conf.
func (n *Node) ConfIndex() uint64 { return n.configurations[len(n.configurations)-1].index }

// Voter tells whether a disk votes.
func (n *Node) Voter(disk string) bool {
	for _, v := range n.Voters() {
		if v.Disk == disk {
			return true
		}
	}
	return false
}

func (n *Node) trackPeers() {
	want := map[string]bool{}
	for _, v := range n.Voters() {
		want[v.Disk] = true
	}
	for d := range n.learners {
		want[d] = true
	}
	delete(want, n.me)
	for d := range want {
		if n.peers[d] == nil {
			n.peers[d] = &progress{next: n.last() + 1, probing: true, since: n.stamped, heard: n.now}
		}
	}
	for d := range n.peers {
		if !want[d] {
			delete(n.peers, d)
		}
	}
}

// ProposeConf changes the voters by one member; refused while an earlier
// change is not settled.
func (n *Node) ProposeConf(voters []Voter) bool {
	if n.role != leader || n.leaving || n.ConfIndex() > n.commit || n.commit < n.noop {
		return false
	}
	raw, err := cbor.Marshal(voters)
	if err != nil {
		panic("raft: " + err.Error())
	}
	n.appendEntry(EntryConf, raw)
	for _, v := range voters {
		delete(n.learners, v.Disk)
	}
	n.trackPeers()
	return true
}

// Learn starts to bring a candidate up to date.
func (n *Node) Learn(v Voter) {
	if n.role != leader || n.Voter(v.Disk) {
		return
	}
	n.learners[v.Disk] = v
	n.trackPeers()
}

// Forget ends that.
func (n *Node) Forget(disk string) {
	delete(n.learners, disk)
	if n.role == leader {
		n.trackPeers()
	}
}

// near is how many entries a candidate may lack that are on their way.
const near = 32

// Caught tells whether a candidate holds what is settled, but for a few entries.
func (n *Node) Caught(disk string) bool {
	p := n.peers[disk]
	// Why a little short of it: under load the newest entries are always under way.
	return p != nil && !p.probing && p.match+near >= n.commit
}

// Silent is how long a member has not been heard.
func (n *Node) Silent(disk string) time.Duration {
	if p := n.peers[disk]; p != nil {
		return n.now.Sub(p.heard)
	}
	return 0
}

// ConfAt is the conf in force at an applied entry.
func (n *Node) ConfAt(index uint64) []Voter {
	out := n.configurations[0].voters
	for _, c := range n.configurations {
		if c.index <= index {
			out = c.voters
		}
	}
	return out
}
