package server

import (
	"context"
	"fmt"
	"runtime"

	"tealpond/internal/state"
	"tealpond/internal/transport"
)

const (
	// SnapshotInterval is the number of log entries between two snapshots.
	SnapshotInterval = 3000
	// digestInterval is the number of log entries between two digests that the replicas compare.
	// SnapshotInterval is a multiple of it.
	digestInterval = 250
)

// Replicas verify that their states agree. At fixed log indexes each replica computes a digest: of
// the whole encoded state where a snapshot is taken, and of the chain of entries and outcomes at
// the indexes in between. It reports the digest to the leader, which writes the digest of the
// majority to the log. A replica with a different digest, including the leader, fetches the state
// again. Digests are compared only between replicas that run the same program version.

// frameDigest is the frame kind of a digestReport sent to the leader.
const frameDigest = byte(64)

// digestReport is a replica's digest at a log index. It is encoded under the names in its tags or,
// without a tag, its field names, which must therefore not change.
type digestReport struct {
	From    string
	To      string
	Index   uint64
	Digest  uint64 `cbor:"Sum"`
	Program string
}

// programVersion identifies what a digest depends on besides the log: the format of the state and
// its commands, the compiler version and the processor architecture.
func (r *Replica) programVersion() string {
	return fmt.Sprintf("%d %s %s", r.state.Format, runtime.Version(), runtime.GOARCH)
}

// takeDigestIfDue records the digest after an entry if one is due at its index.
func (r *Replica) takeDigestIfDue(ctx context.Context, index uint64) {
	if index%digestInterval == 0 && index%SnapshotInterval != 0 && r.state.DigestChainFrom > 0 {
		r.recordDigest(ctx, index, r.state.DigestChain)
	}
}

// recordDigest stores a digest of this replica, compares it, and reports it to the leader.
func (r *Replica) recordDigest(ctx context.Context, index, digest uint64) {
	if agreed, known := r.digests.addLocal(index, digest); known {
		r.compareDigest(index, agreed)
	}
	if r.node.IsLeader() {
		r.countDigests(index)
		return
	}
	if leader := r.node.Leader(); leader != "" {
		report := digestReport{From: r.self.ID, To: leader, Index: index, Digest: digest, Program: r.programVersion()}
		r.sendFrame(ctx, leader, transport.Frame{Kind: frameDigest, Body: transport.Encode(report)})
	}
}

// handleDigestReport handles the digest of another replica.
func (r *Replica) handleDigestReport(body []byte) {
	var report digestReport
	if transport.Decode(body, &report) != nil || report.To != r.self.ID || report.Program != r.programVersion() {
		return
	}
	if r.node == nil || !r.node.IsLeader() {
		return
	}
	if r.digests.decided[report.Index] || report.Index > r.node.CommitIndex() {
		return
	}
	r.digests.addReported(report.From, report.Index, report.Digest)
	r.countDigests(report.Index)
}

// countDigests counts the digests of the voters at an index, and proposes that of the majority for
// the log.
func (r *Replica) countDigests(index uint64) {
	switch count := r.digests.count(index, r.self.ID, r.node.Voters()); count.verdict {
	case digestsConfirmed:
		confirm := &state.ConfirmDigest{Index: index, Digest: count.majority, ProgramVersion: r.programVersion()}
		r.enqueueCommand(state.CommandConfirmDigest, confirm, nil)
	case digestsDiverged:
		r.compareDigest(index, count.majority)
	case digestsDisagree:
		_ = r.log.Log("level", "error", "event", "replicas.disagreed", "index", index, "digests", count.distinct, "voters", len(r.node.Voters()))
	}
}

// compareConfirmed compares a digest from the log with that of this replica.
func (r *Replica) compareConfirmed(confirmed state.ConfirmDigest) {
	if confirmed.ProgramVersion == r.programVersion() {
		r.compareDigest(confirmed.Index, confirmed.Digest)
	}
}

// compareDigest compares the agreed digest at an index with that of this replica, and logs an error
// if this shows that the replica has diverged.
func (r *Replica) compareDigest(index, agreed uint64) {
	if r.digests.compare(index, agreed) {
		_ = r.log.Log("level", "error", "event", "replica.diverged", "index", index, "digest", r.digests.local[index], "majority", agreed,
			"disk", r.self.ID, "leads", r.node.IsLeader())
	}
}
