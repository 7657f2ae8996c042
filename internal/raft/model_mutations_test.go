package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// mutation is a bug injected into the simulated disk, the network or the harness, never into
// package raft itself.
type mutation struct {
	name         string
	alterMessage func(c *modelCluster, m *Message) bool // returning false drops the message
	profile      func(p *walkProfile)
}

const (
	mutationEarlySync       = "a write is reported as synced before it is"
	mutationLoseHardState   = "a disk loses term and vote"
	mutationLoseLastEntries = "a disk loses the last entries"
	mutationCommitAhead     = "a disk holds a commit index that is too high"
	mutationLoseMiddleEntry = "a disk loses an entry between others"
	mutationDropSuffix      = "a snapshot drops the entries after it"
	mutationSkipEntry       = "a member skips an entry"
	mutationSingleMajority  = "a joint configuration is stored and sent without its outgoing voters"
)

// mutationCase is a mutation and the check that must fail because of it.
type mutationCase struct {
	check    check
	mutation mutation
}

var mutationCases = []mutationCase{
	{checkPersistedBeforeSent, mutation{name: mutationEarlySync}},
	{checkDurable, mutation{name: mutationEarlySync}},
	{checkCommitted, mutation{name: mutationEarlySync, profile: frequentPowerLoss}},
	{checkVote, mutation{name: mutationLoseHardState, profile: frequentPowerLoss}},
	{checkLeader, mutation{name: "rejected votes are counted", alterMessage: countRejectedVotes}},
	{checkElectedByQuorum, mutation{name: "rejected votes are counted", alterMessage: countRejectedVotes}},
	{checkPanic, mutation{name: "rejected votes are counted", alterMessage: countRejectedVotes}},
	{checkLeaderCompleteness, mutation{name: "candidates claim to hold all entries", alterMessage: func(c *modelCluster, m *Message) bool {
		if m.Kind == MsgVote || m.Kind == MsgPreVote {
			m.Index, m.LogTerm = 1<<40, 1<<40
		}
		return true
	}}},
	{checkLogMatching, mutation{name: "an entry is modified in transit", alterMessage: changeEntry}},
	{checkCommitted, mutation{name: "an entry is modified in transit", alterMessage: changeEntry}},
	{checkApplied, mutation{name: mutationSkipEntry}},
	{checkApplied, mutation{name: "the state in a snapshot is modified in transit", alterMessage: func(c *modelCluster, m *Message) bool {
		if m.Kind == MsgSnapshot && m.Snapshot != nil {
			snapshot := *m.Snapshot
			state := decodeStateMachine(snapshot.Data)
			state.digest++
			snapshot.Data = state.encode()
			m.Snapshot = &snapshot
		}
		return true
	}}},
	{checkLinearizableReads, mutation{name: "a lease that outlasts an election", profile: func(p *walkProfile) {
		p.config.LeaseFraction, p.config.CheckQuorumTimeout = 20, 20*time.Second
		p.voters, p.meanFaultGap, p.lossShare = 3, 300*time.Millisecond, 0
	}}},
	{checkCommitted, mutation{name: mutationCommitAhead}},
	{checkDisk, mutation{name: mutationLoseMiddleEntry}},
	{checkLeaderCompleteness, mutation{name: mutationLoseLastEntries}},
	{checkDurable, mutation{name: mutationDropSuffix}},
	{checkLeaderCompleteness, mutation{name: mutationDropSuffix, profile: frequentPowerLoss}},
	{checkQuorumsIntersect, mutation{name: mutationSingleMajority, alterMessage: func(c *modelCluster, m *Message) bool {
		m.Entries = append([]Entry(nil), m.Entries...)
		for i := range m.Entries {
			m.Entries[i] = withoutOutgoingVoters(m.Entries[i])
		}
		return true
	}}},
	{checkLiveness, mutation{name: "all vote responses are lost", alterMessage: func(c *modelCluster, m *Message) bool { return m.Kind != MsgVoteResponse }}},
}

func countRejectedVotes(cluster *modelCluster, message *Message) bool {
	if message.Kind == MsgVoteResponse {
		message.Reject = false
	}
	return true
}

func changeEntry(cluster *modelCluster, message *Message) bool {
	if len(message.Entries) > 0 && cluster.chance(0.02) {
		message.Entries = append([]Entry(nil), message.Entries...)
		message.Entries[0].Data = []byte("other")
	}
	return true
}

// frequentPowerLoss makes faults interrupt writes in flight more often.
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

// TestModelChecksFindInjectedBugs runs walks with each mutation until the check that it must
// violate fails. Other checks are ignored.
func TestModelChecksFindInjectedBugs(t *testing.T) {
	for _, wanted := range allChecks {
		if !slices.ContainsFunc(mutationCases, func(test mutationCase) bool { return test.check == wanted }) {
			t.Errorf("no mutation violates %q", wanted)
		}
	}
	for _, test := range mutationCases {
		t.Run(string(test.check)+"/"+test.mutation.name, func(t *testing.T) {
			for seed := int64(1); seed <= 200; seed++ {
				if found := newModelCluster(seed, test.mutation, test.check).walk(3000); found != nil && found.check == test.check {
					t.Logf("seed %d: %v", seed, found)
					return
				}
			}
			t.Error("not detected in 200 seeds")
		})
	}
}
