package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// mutation is a break put into the disk, the network or the harness, never into
// the package.
type mutation struct {
	name         string
	alterMessage func(w *modelWorld, m *Message) bool // changes a message; false loses it
	profile      func(p *walkProfile)
}

const (
	mutationEarlySync      = "a write is said to be synced before it is"
	mutationForgetVote     = "a disk forgets term and vote"
	mutationForgetTail     = "a disk forgets the newest entries"
	mutationForgetMiddle   = "a disk forgets an entry between others"
	mutationDropSuffix     = "a snapshot drops the entries above it"
	mutationSkipEntry      = "a member skips an entry"
	mutationSingleMajority = "a joint change is stored and sent as one with a single majority"
)

// The breaks, and the check that each must set off.
type mutationCase struct {
	check    check
	mutation mutation
}

var mutationCases = []mutationCase{
	{checkPersistedBeforeSent, mutation{name: mutationEarlySync}},
	{checkDurable, mutation{name: mutationEarlySync}},
	{checkCommitted, mutation{name: mutationEarlySync, profile: frequentPowerLoss}},
	{checkVote, mutation{name: mutationForgetVote, profile: frequentPowerLoss}},
	{checkLeader, mutation{name: "refused votes are counted", alterMessage: countRejectedVotes}},
	{checkElectedByMajority, mutation{name: "refused votes are counted", alterMessage: countRejectedVotes}},
	{checkPanic, mutation{name: "refused votes are counted", alterMessage: countRejectedVotes}},
	{checkLeaderCompleteness, mutation{name: "candidates say that they hold all", alterMessage: func(w *modelWorld, m *Message) bool {
		if m.Kind == MsgVote || m.Kind == MsgPreVote {
			m.Index, m.LogTerm = 1<<40, 1<<40
		}
		return true
	}}},
	{checkLogMatching, mutation{name: "an entry changes on its way", alterMessage: changeEntry}},
	{checkCommitted, mutation{name: "an entry changes on its way", alterMessage: changeEntry}},
	{checkApplied, mutation{name: mutationSkipEntry}},
	{checkApplied, mutation{name: "a snapshot says a higher index than its state has", alterMessage: func(w *modelWorld, m *Message) bool {
		if m.Kind == MsgSnapshot && m.Snapshot != nil {
			p := *m.Snapshot
			s := decodeStateMachine(p.Data)
			s.digest++
			p.Data = s.encode()
			m.Snapshot = &p
		}
		return true
	}}},
	{checkLinearizableReads, mutation{name: "a lease longer than an election", profile: func(p *walkProfile) {
		p.config.LeaseFraction, p.config.CheckQuorumTimeout = 20, 20*time.Second
		p.voters, p.meanFaultGap, p.lossShare = 3, 300*time.Millisecond, 0
	}}},
	{checkDisk, mutation{name: mutationForgetMiddle}},
	{checkLeaderCompleteness, mutation{name: mutationForgetTail}},
	{checkDurable, mutation{name: mutationDropSuffix}},
	{checkLeaderCompleteness, mutation{name: mutationDropSuffix, profile: frequentPowerLoss}},
	{checkQuorumsIntersect, mutation{name: mutationSingleMajority, alterMessage: func(w *modelWorld, m *Message) bool {
		m.Entries = append([]Entry(nil), m.Entries...)
		for i := range m.Entries {
			m.Entries[i] = withoutOutgoingVoters(m.Entries[i])
		}
		return true
	}}},
	{checkLiveness, mutation{name: "no vote arrives", alterMessage: func(w *modelWorld, m *Message) bool { return m.Kind != MsgVoteResponse }}},
}

func countRejectedVotes(w *modelWorld, m *Message) bool {
	if m.Kind == MsgVoteResponse {
		m.Reject = false
	}
	return true
}

func changeEntry(w *modelWorld, m *Message) bool {
	if len(m.Entries) > 0 && w.chance(0.02) {
		m.Entries = append([]Entry(nil), m.Entries...)
		m.Entries[0].Data = []byte("other")
	}
	return true
}

// frequentPowerLoss makes losses of power hit writes under way more often.
func frequentPowerLoss(p *walkProfile) {
	p.meanFaultGap, p.syncTime, p.voters = 60*time.Millisecond, 40*time.Millisecond, 3
}

// withoutOutgoingVoters is a configuration entry that lost the voters before the change.
func withoutOutgoingVoters(e Entry) Entry {
	if e.Kind != EntryConfChange {
		return e
	}
	voters, old, err := DecodeConfChange(e.Data)
	if err != nil || len(old) == 0 {
		return e
	}
	e.Data, _ = cbor.Marshal(voters)
	return e
}

// TestModelChecksFindInjectedBugs plays each break until the check that it must set
// off, and only that one counts, fails.
func TestModelChecksFindInjectedBugs(t *testing.T) {
	for _, c := range allChecks {
		if !slices.ContainsFunc(mutationCases, func(b mutationCase) bool { return b.check == c }) {
			t.Errorf("no break is planted for %q", c)
		}
	}
	for _, b := range mutationCases {
		t.Run(string(b.check)+"/"+b.mutation.name, func(t *testing.T) {
			for seed := int64(1); seed <= 200; seed++ {
				if f := newModelWorld(seed, b.mutation, b.check).walk(3000); f != nil && f.check == b.check {
					t.Logf("seed %d: %v", seed, f)
					return
				}
			}
			t.Error("not noticed in 200 seeds")
		})
	}
}
