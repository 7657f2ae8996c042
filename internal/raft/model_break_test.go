package raft

import (
	"testing"
	"time"
)

// plant is a break put into the disk, the network or the harness, never into
// the package.
type plant struct {
	name    string
	tamper  func(w *world, m *Msg) bool // changes a message; false loses it
	profile func(p *profile)
}

const (
	plantEarlySync  = "a write is said to be synced before it is"
	plantForgetVote = "a disk forgets the vote"
	plantForgetTail = "a disk forgets synced entries"
	plantSkip       = "a member skips an entry"
	plantTwoAtOnce  = "two voters changed at once, with single majorities"
)

// The breaks, and the check that each must set off.
var breaks = []struct {
	check check
	plant plant
}{
	{checkPromise, plant{name: plantEarlySync}},
	{checkDurable, plant{name: plantEarlySync}},
	{checkCommitted, plant{name: plantEarlySync}},
	{checkVote, plant{name: plantForgetVote}},
	{checkLeader, plant{name: "refused votes are counted", tamper: func(w *world, m *Msg) bool {
		if m.Kind == MsgVoteAnswer {
			m.Reject = false
		}
		return true
	}}},
	{checkElected, plant{name: "refused votes are counted", tamper: func(w *world, m *Msg) bool {
		if m.Kind == MsgVoteAnswer {
			m.Reject = false
		}
		return true
	}}},
	{checkComplete, plant{name: "candidates say that they hold all", tamper: func(w *world, m *Msg) bool {
		if m.Kind == MsgVote || m.Kind == MsgPreVote {
			m.Index, m.LogTerm = 1<<40, 1<<40
		}
		return true
	}}},
	{checkLogs, plant{name: "an entry changes on its way", tamper: func(w *world, m *Msg) bool {
		if len(m.Entries) > 0 && w.chance(0.02) {
			m.Entries = append([]Entry(nil), m.Entries...)
			m.Entries[0].Data = []byte("other")
		}
		return true
	}}},
	{checkCommitted, plant{name: "an entry changes on its way", tamper: func(w *world, m *Msg) bool {
		if len(m.Entries) > 0 && w.chance(0.02) {
			m.Entries = append([]Entry(nil), m.Entries...)
			m.Entries[0].Data = []byte("other")
		}
		return true
	}}},
	{checkApplied, plant{name: plantSkip}},
	{checkApplied, plant{name: "a snapshot says a higher index than its state has", tamper: func(w *world, m *Msg) bool {
		if m.Kind == MsgPoint && m.Point != nil {
			p := *m.Point
			s := loadMachine(p.Data)
			s.digest++
			p.Data = s.save()
			m.Point = &p
		}
		return true
	}}},
	{checkReads, plant{name: "a lease longer than an election", profile: func(p *profile) {
		p.timing.LeaseShare, p.timing.Quorum = 20, 20*time.Second
	}}},
	{checkDisk, plant{name: plantForgetTail}},
	{checkComplete, plant{name: plantForgetTail}},
	{checkMeet, plant{name: plantTwoAtOnce}},
	{checkLive, plant{name: "no vote arrives", tamper: func(w *world, m *Msg) bool { return m.Kind != MsgVoteAnswer }}},
}

// TestModelChecksCanFail plays each break until the check that it must set
// off, and only that one counts, fails.
func TestModelChecksCanFail(t *testing.T) {
	for _, b := range breaks {
		t.Run(string(b.check)+"/"+b.plant.name, func(t *testing.T) {
			for seed := int64(1); seed <= 40; seed++ {
				if f := newWorld(seed, b.plant, b.check).walk(3000); f != nil && f.check == b.check {
					t.Logf("seed %d: %v", seed, f)
					return
				}
			}
			t.Error("not noticed in 40 seeds")
		})
	}
}
