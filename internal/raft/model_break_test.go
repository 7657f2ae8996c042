package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// plant is a break put into the disk, the network or the harness, never into
// the package.
type plant struct {
	name    string
	tamper  func(w *world, m *Msg) bool // changes a message; false loses it
	profile func(p *profile)
}

const (
	plantEarlySync    = "a write is said to be synced before it is"
	plantForgetVote   = "a disk forgets term and vote"
	plantForgetTail   = "a disk forgets the newest entries"
	plantForgetMiddle = "a disk forgets an entry between others"
	plantNoSuffix     = "a snapshot drops the entries above it"
	plantSkip         = "a member skips an entry"
	plantSingle       = "a joint change is stored and sent as one with a single majority"
)

// The breaks, and the check that each must set off.
type breakCase struct {
	check check
	plant plant
}

var breaks = []breakCase{
	{checkPromise, plant{name: plantEarlySync}},
	{checkDurable, plant{name: plantEarlySync}},
	{checkCommitted, plant{name: plantEarlySync, profile: rough}},
	{checkVote, plant{name: plantForgetVote, profile: rough}},
	{checkLeader, plant{name: "refused votes are counted", tamper: countRefused}},
	{checkElected, plant{name: "refused votes are counted", tamper: countRefused}},
	{checkPanic, plant{name: "refused votes are counted", tamper: countRefused}},
	{checkComplete, plant{name: "candidates say that they hold all", tamper: func(w *world, m *Msg) bool {
		if m.Kind == MsgVote || m.Kind == MsgPreVote {
			m.Index, m.LogTerm = 1<<40, 1<<40
		}
		return true
	}}},
	{checkLogs, plant{name: "an entry changes on its way", tamper: changeEntry}},
	{checkCommitted, plant{name: "an entry changes on its way", tamper: changeEntry}},
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
		p.voters, p.chaosGap, p.loss = 3, 300*time.Millisecond, 0
	}}},
	{checkDisk, plant{name: plantForgetMiddle}},
	{checkComplete, plant{name: plantForgetTail}},
	{checkDurable, plant{name: plantNoSuffix}},
	{checkComplete, plant{name: plantNoSuffix, profile: rough}},
	{checkMeet, plant{name: plantSingle, tamper: func(w *world, m *Msg) bool {
		m.Entries = append([]Entry(nil), m.Entries...)
		for i := range m.Entries {
			m.Entries[i] = withoutOld(m.Entries[i])
		}
		return true
	}}},
	{checkLive, plant{name: "no vote arrives", tamper: func(w *world, m *Msg) bool { return m.Kind != MsgVoteAnswer }}},
}

func countRefused(w *world, m *Msg) bool {
	if m.Kind == MsgVoteAnswer {
		m.Reject = false
	}
	return true
}

func changeEntry(w *world, m *Msg) bool {
	if len(m.Entries) > 0 && w.chance(0.02) {
		m.Entries = append([]Entry(nil), m.Entries...)
		m.Entries[0].Data = []byte("other")
	}
	return true
}

// rough makes losses of power hit writes under way more often.
func rough(p *profile) {
	p.chaosGap, p.syncTime, p.voters = 60*time.Millisecond, 40*time.Millisecond, 3
}

// withoutOld is a configuration entry that lost the voters before the change.
func withoutOld(e Entry) Entry {
	if e.Kind != EntryConf {
		return e
	}
	voters, old, err := DecodeConf(e.Data)
	if err != nil || len(old) == 0 {
		return e
	}
	e.Data, _ = cbor.Marshal(voters)
	return e
}

// TestModelChecksCanFail plays each break until the check that it must set
// off, and only that one counts, fails.
func TestModelChecksCanFail(t *testing.T) {
	for _, c := range allChecks {
		if !slices.ContainsFunc(breaks, func(b breakCase) bool { return b.check == c }) {
			t.Errorf("no break is planted for %q", c)
		}
	}
	for _, b := range breaks {
		t.Run(string(b.check)+"/"+b.plant.name, func(t *testing.T) {
			for seed := int64(1); seed <= 200; seed++ {
				if f := newWorld(seed, b.plant, b.check).walk(3000); f != nil && f.check == b.check {
					t.Logf("seed %d: %v", seed, f)
					return
				}
			}
			t.Error("not noticed in 200 seeds")
		})
	}
}
