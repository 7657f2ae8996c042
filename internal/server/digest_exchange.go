package server

import (
	"context"
	"fmt"
	"runtime"

	"tealpond/internal/state"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// Replicas prove that they agree. At fixed log indexes each takes a digest of
// its state: of the whole saved state where a snapshot is taken, of the chain of
// entries and outcomes in between. It reports it to the leader, which puts the
// digest of the majority into the log; a replica whose own differs fetches the
// state again, the leader too. Only digests of one version of the program are
// compared.

// frameDigest is the frame of a replica's digestReport to the leader.
const frameDigest = byte(64)

// digestReport is a replica's digest at a log index. It is encoded by the names
// of its fields.
type digestReport struct {
	From    string
	To      string
	Index   uint64
	Sum     uint64
	Program string
}

// programVersion names what a digest depends on beside the log: the form of the state and
// its commands, the compiler and the kind of processor.
var programVersion = fmt.Sprintf("%d %s %s", state.FormatVersion, runtime.Version(), runtime.GOARCH)

// takeDigestIfDue takes the digest after an entry, if one is due at its index.
func (r *Replica) takeDigestIfDue(ctx context.Context, index uint64) {
	if index%tuning.DigestInterval == 0 && index%tuning.SnapshotInterval != 0 && r.state.DigestChainFrom > 0 {
		r.recordDigest(ctx, index, r.state.DigestChain)
	}
}

// recordDigest keeps a digest of this replica, compares it and reports it to the
// leader.
func (r *Replica) recordDigest(ctx context.Context, index, sum uint64) {
	r.digests.own[index] = sum
	r.digests.discardOld(index)
	if agreed, ok := r.digests.agreed[index]; ok {
		delete(r.digests.agreed, index)
		r.checkDigest(index, agreed)
	}
	if r.node.IsLeader() {
		r.countDigests(index)
		return
	}
	if leader := r.node.Leader(); leader != "" {
		r.sendFrame(ctx, leader, transport.Frame{Kind: frameDigest, Body: transport.Encode(digestReport{r.self.ID, leader, index, sum, programVersion})})
	}
}

// handleDigestReport takes another replica's digest.
func (r *Replica) handleDigestReport(raw []byte) {
	var received digestReport
	if transport.Decode(raw, &received) != nil || received.To != r.self.ID || received.Program != programVersion || r.node == nil || !r.node.IsLeader() ||
		r.digests.decided[received.Index] || received.Index > r.node.CommitIndex() {
		return
	}
	if r.digests.reported[received.Index] == nil {
		r.digests.reported[received.Index] = map[string]uint64{}
	}
	r.digests.reported[received.Index][received.From] = received.Sum
	r.countDigests(received.Index)
}

// countDigests looks for the digest that a majority of the voters has at an index.
func (r *Replica) countDigests(index uint64) {
	own, ok := r.digests.own[index]
	if !ok || r.digests.decided[index] {
		return
	}
	voters, reported := r.node.Voters(), 0
	votesByDigest := map[uint64]int{}
	for _, voter := range voters {
		sum, ok := r.digests.reported[index][voter.ID]
		if voter.ID == r.self.ID {
			sum, ok = own, true
		}
		if ok {
			reported++
			votesByDigest[sum]++
		}
	}
	for sum, votes := range votesByDigest {
		if 2*votes <= len(voters) {
			continue
		}
		r.digests.markDecided(index)
		if sum != own {
			r.checkDigest(index, sum)
			return
		}
		r.enqueueCommand("agree", &state.ConfirmDigest{Index: index, Digest: sum, ProgramVersion: programVersion}, nil)
		return
	}
	if reported == len(voters) {
		r.digests.markDecided(index)
		_ = r.log.Log("level", "error", "event", "replicas.disagree", "index", index, "sums", len(votesByDigest), "voters", len(voters))
	}
}

// compareAgreed compares a digest from the log with this replica's own.
func (r *Replica) compareAgreed(agreed state.ConfirmDigest) {
	if agreed.ProgramVersion != programVersion {
		return
	}
	if _, ok := r.digests.own[agreed.Index]; !ok {
		// Not taken yet, or before the snapshot that this replica began with.
		r.digests.agreed[agreed.Index] = agreed.Digest
		return
	}
	r.checkDigest(agreed.Index, agreed.Digest)
}

// checkDigest notes that this replica has diverged if its digest is not the agreed
// one.
func (r *Replica) checkDigest(index, agreed uint64) {
	if r.digests.own[index] != agreed && r.digests.divergedAt == 0 {
		r.digests.divergedAt = index
		_ = r.log.Log("level", "error", "event", "replica.differs", "index", index, "sum", r.digests.own[index], "majority", agreed,
			"disk", r.self.ID, "leads", r.node.IsLeader())
	}
}
