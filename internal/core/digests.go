package core

import (
	"context"
	"fmt"
	"runtime"

	"tealpond/internal/store"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
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

// audit is what this replica knows of its own digests and those of others.
type audit struct {
	own        map[uint64]uint64
	agreed     map[uint64]uint64            // from the log, where the own one is not known yet
	reported   map[uint64]map[string]uint64 // by index and disk, while this one leads
	settled    map[uint64]bool              // indexes that are dealt with
	divergedAt uint64                       // the index at which this replica differs; 0: none
}

func newAudit() audit {
	return audit{own: map[uint64]uint64{}, agreed: map[uint64]uint64{}, reported: map[uint64]map[string]uint64{}, settled: map[uint64]bool{}}
}

// program names what a digest depends on beside the log: the form of the state and
// its commands, the compiler and the kind of processor.
var program = fmt.Sprintf("%d %s %s", store.Form, runtime.Version(), runtime.GOARCH)

// digestAt takes the digest after an entry, if one is due at its index.
func (c *Core) digestAt(ctx context.Context, index uint64) {
	if index%tune.SumEvery == 0 && index%tune.PointEvery != 0 && c.state.ChainFrom > 0 {
		c.recordDigest(ctx, index, c.state.Chain)
	}
}

// recordDigest keeps a digest of this replica, compares it and reports it to the
// leader.
func (c *Core) recordDigest(ctx context.Context, index, sum uint64) {
	c.audit.own[index] = sum
	c.audit.forget(index)
	if agreed, ok := c.audit.agreed[index]; ok {
		delete(c.audit.agreed, index)
		c.compare(index, agreed)
	}
	if c.node.IsLeader() {
		c.tally(index)
		return
	}
	if lead := c.node.Leader(); lead != "" {
		c.send(ctx, lead, transport.Frame{Kind: frameDigest, Body: transport.Encode(digestReport{c.self.ID, lead, index, sum, program})})
	}
}

// forget drops digests that are too old to be compared.
func (s *audit) forget(newest uint64) {
	old := func(i uint64) bool { return i+tune.SumKeep*tune.SumEvery < newest }
	for _, sums := range []map[uint64]uint64{s.own, s.agreed} {
		for i := range sums {
			if old(i) {
				delete(sums, i)
			}
		}
	}
	for i := range s.reported {
		if old(i) {
			delete(s.reported, i)
		}
	}
	for i := range s.settled {
		if old(i) {
			delete(s.settled, i)
		}
	}
}

// dealtWith marks an index as decided.
func (s *audit) dealtWith(index uint64) {
	s.settled[index] = true
	delete(s.reported, index)
}

// onDigestReport takes another replica's digest.
func (c *Core) onDigestReport(raw []byte) {
	var received digestReport
	if transport.Decode(raw, &received) != nil || received.To != c.self.ID || received.Program != program || c.node == nil || !c.node.IsLeader() ||
		c.audit.settled[received.Index] || received.Index > c.node.CommitIndex() {
		return
	}
	if c.audit.reported[received.Index] == nil {
		c.audit.reported[received.Index] = map[string]uint64{}
	}
	c.audit.reported[received.Index][received.From] = received.Sum
	c.tally(received.Index)
}

// tally looks for the digest that a majority of the voters has at an index.
func (c *Core) tally(index uint64) {
	own, ok := c.audit.own[index]
	if !ok || c.audit.settled[index] {
		return
	}
	voters, heard := c.node.Voters(), 0
	count := map[uint64]int{}
	for _, voter := range voters {
		sum, ok := c.audit.reported[index][voter.ID]
		if voter.ID == c.self.ID {
			sum, ok = own, true
		}
		if ok {
			heard++
			count[sum]++
		}
	}
	for sum, votes := range count {
		if 2*votes <= len(voters) {
			continue
		}
		c.audit.dealtWith(index)
		if sum != own {
			c.compare(index, sum)
			return
		}
		c.add("agree", &store.Agree{Index: index, Sum: sum, Program: program}, nil)
		return
	}
	if heard == len(voters) {
		c.audit.dealtWith(index)
		_ = c.log.Log("level", "error", "event", "replicas.disagree", "index", index, "sums", len(count), "voters", len(voters))
	}
}

// agreedOn compares a digest from the log with this replica's own.
func (c *Core) agreedOn(a store.Agree) {
	if a.Program != program {
		return
	}
	if _, ok := c.audit.own[a.Index]; !ok {
		// Not taken yet, or before the snapshot that this replica began with.
		c.audit.agreed[a.Index] = a.Sum
		return
	}
	c.compare(a.Index, a.Sum)
}

// compare notes that this replica has diverged if its digest is not the agreed
// one.
func (c *Core) compare(index, agreed uint64) {
	if c.audit.own[index] != agreed && c.audit.divergedAt == 0 {
		c.audit.divergedAt = index
		_ = c.log.Log("level", "error", "event", "replica.differs", "index", index, "sum", c.audit.own[index], "majority", agreed,
			"disk", c.self.ID, "leads", c.node.IsLeader())
	}
}
