package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// mutation is a bug in the disk, the network or the harness, never in the package.
type mutation struct {
	name         string
	alterMessage func(w *modelWorld, m *Message) bool // false drops the message
	profile      func(p *walkProfile)
}

const (
	mutationEarlySync      = "a write is reported as synced before it is"
	mutationForgetVote     = "a disk forgets term and vote"
	mutationForgetTail     = "a disk forgets the newest entries"
	mutationCommitAhead    = "a disk holds a commit index that is too high"
	mutationForgetMiddle   = "a disk forgets an entry between others"
	mutationDropSuffix     = "a snapshot drops the entries above it"
	mutationSkipEntry      = "a member skips an entry"
	mutationSingleMajority = "a joint change is stored and sent as one with a single majority"
)

// mutationCase is a mutation and the check that must fail by it.
type mutationCase struct {
	check    check
	mutation mutation
}

var mutationCases = []mutationCase{
	{checkPersistedBeforeSent, mutation{name: mutationEarlySync}},
	{checkDurable, mutation{name: mutationEarlySync}},
	{checkCommitted, mutation{name: mutationEarlySync, profile: frequentPowerLoss}},
	{checkVote, mutation{name: mutationForgetVote, profile: frequentPowerLoss}},
	{checkLeader, mutation{name: "rejected votes are counted", alterMessage: countRejectedVotes}},
	{checkElectedByMajority, mutation{name: "rejected votes are counted", alterMessage: countRejectedVotes}},
	{checkPanic, mutation{name: "rejected votes are counted", alterMessage: countRejectedVotes}},
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
			snapshot := *m.Snapshot
			state := decodeStateMachine(snapshot.Data)
			state.digest++
			snapshot.Data = state.encode()
			m.Snapshot = &snapshot
		}
		return true
	}}},
	{checkLinearizableReads, mutation{name: "a lease longer than an election", profile: func(p *walkProfile) {
		p.config.LeaseFraction, p.config.CheckQuorumTimeout = 20, 20*time.Second
		p.voters, p.meanFaultGap, p.lossShare = 3, 300*time.Millisecond, 0
	}}},
	{checkCommitted, mutation{name: mutationCommitAhead}},
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

func countRejectedVotes(world *modelWorld, message *Message) bool {
	if message.Kind == MsgVoteResponse {
		message.Reject = false
	}
	return true
}

func changeEntry(world *modelWorld, message *Message) bool {
	if len(message.Entries) > 0 && world.chance(0.02) {
		message.Entries = append([]Entry(nil), message.Entries...)
		message.Entries[0].Data = []byte("other")
	}
	return true
}

// frequentPowerLoss lets faults hit writes under way more often.
func frequentPowerLoss(profile *walkProfile) {
	profile.meanFaultGap, profile.syncTime, profile.voters = 60*time.Millisecond, 40*time.Millisecond, 3
}

// withoutOutgoingVoters returns a configuration entry without its outgoing voters.
func withoutOutgoingVoters(entry Entry) Entry {
	if entry.Kind != EntryConfChange {
		return entry
	}
	voters, outgoing, err := DecodeConfChange(entry.Data)
	if err != nil || len(outgoing) == 0 {
		return entry
	}
	entry.Data, _ = cbor.Marshal(voters)
	return entry
}

// TestModelChecksFindInjectedBugs plays each mutation until the check that it must violate,
// and only that one counts, fails.
func TestModelChecksFindInjectedBugs(t *testing.T) {
	for _, wanted := range allChecks {
		if !slices.ContainsFunc(mutationCases, func(test mutationCase) bool { return test.check == wanted }) {
			t.Errorf("no mutation violates %q", wanted)
		}
	}
	for _, test := range mutationCases {
		t.Run(string(test.check)+"/"+test.mutation.name, func(t *testing.T) {
			for seed := int64(1); seed <= 200; seed++ {
				if found := newModelWorld(seed, test.mutation, test.check).walk(3000); found != nil && found.check == test.check {
					t.Logf("seed %d: %v", seed, found)
					return
				}
			}
			t.Error("not detected in 200 seeds")
		})
	}
}
