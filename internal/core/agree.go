package core

import (
	"context"
	"fmt"
	"runtime"

	"tealpond/internal/link"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// Replicas prove that they agree. At set indexes each sums up its state: the
// whole saved state where snapshots are cut, the chain of entries and outcomes
// between them. It tells the leader, which puts the sum of the majority into
// the log; a replica that finds its own to differ takes the state anew, the
// leader too. Only sums of one version of the program are compared.

// frameSum carries a report from a replica to the leader.
const frameSum = byte(64)

// report is a replica's sum at an index.
type report struct {
	From    string
	To      string
	Index   uint64
	Sum     uint64
	Program string
}

// audit is what this replica knows of its own and of others' states.
type audit struct {
	own     map[uint64]uint64
	agreed  map[uint64]uint64            // from the log, where the own one is not known yet
	told    map[uint64]map[string]uint64 // by index and disk, while this one leads
	tallied map[uint64]bool              // indexes that are dealt with
	wrong   uint64                       // the index at which this replica differs; 0: none
}

func newAudit() audit {
	return audit{own: map[uint64]uint64{}, agreed: map[uint64]uint64{}, told: map[uint64]map[string]uint64{}, tallied: map[uint64]bool{}}
}

// program names what a sum depends on beside the log: the form of the state and
// its commands, the compiler and the kind of processor.
var program = fmt.Sprintf("%d %s %s", store.Form, runtime.Version(), runtime.GOARCH)

// sumAt takes the sum after an entry, if its index is one of the set.
func (c *Core) sumAt(ctx context.Context, index uint64) {
	if index%tune.SumEvery == 0 && index%tune.PointEvery != 0 && c.st.ChainFrom > 0 {
		c.noteSum(ctx, index, c.st.Chain)
	}
}

// noteSum keeps a sum of this replica, compares it and tells the leader.
func (c *Core) noteSum(ctx context.Context, index, sum uint64) {
	c.audit.own[index] = sum
	c.audit.forget(index)
	if agreed, ok := c.audit.agreed[index]; ok {
		delete(c.audit.agreed, index)
		c.compare(index, agreed)
	}
	if c.node.Leads() {
		c.tally(index)
		return
	}
	if lead := c.node.Lead(); lead != "" {
		c.send(ctx, lead, link.Frame{Kind: frameSum, Body: link.Pack(report{c.me.Disk, lead, index, sum, program})})
	}
}

// forget drops what is too old to be compared.
func (s *audit) forget(newest uint64) {
	old := func(i uint64) bool { return i+tune.SumKeep*tune.SumEvery < newest }
	for _, m := range []map[uint64]uint64{s.own, s.agreed} {
		for i := range m {
			if old(i) {
				delete(m, i)
			}
		}
	}
	for i := range s.told {
		if old(i) {
			delete(s.told, i)
		}
	}
	for i := range s.tallied {
		if old(i) {
			delete(s.tallied, i)
		}
	}
}

func (s *audit) dealtWith(index uint64) {
	s.tallied[index] = true
	delete(s.told, index)
}

// onReport takes another replica's sum.
func (c *Core) onReport(raw []byte) {
	var r report
	if link.Unpack(raw, &r) != nil || r.To != c.me.Disk || r.Program != program || c.node == nil || !c.node.Leads() ||
		c.audit.tallied[r.Index] || r.Index > c.node.Commit() {
		return
	}
	if c.audit.told[r.Index] == nil {
		c.audit.told[r.Index] = map[string]uint64{}
	}
	c.audit.told[r.Index][r.From] = r.Sum
	c.tally(r.Index)
}

// tally looks for the sum that most voters have at an index.
func (c *Core) tally(index uint64) {
	own, ok := c.audit.own[index]
	if !ok || c.audit.tallied[index] {
		return
	}
	voters, heard := c.node.Voters(), 0
	count := map[uint64]int{}
	for _, v := range voters {
		sum, ok := c.audit.told[index][v.Disk]
		if v.Disk == c.me.Disk {
			sum, ok = own, true
		}
		if ok {
			heard++
			count[sum]++
		}
	}
	for sum, n := range count {
		if 2*n <= len(voters) {
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

// agreedOn compares what the log says of a sum with this replica's own.
func (c *Core) agreedOn(a store.Agree) {
	if a.Program != program {
		return
	}
	if _, ok := c.audit.own[a.Index]; !ok {
		// Being summed up, or before the snapshot that this one began with.
		c.audit.agreed[a.Index] = a.Sum
		return
	}
	c.compare(a.Index, a.Sum)
}

func (c *Core) compare(index, agreed uint64) {
	if c.audit.own[index] != agreed && c.audit.wrong == 0 {
		c.audit.wrong = index
		_ = c.log.Log("level", "error", "event", "replica.differs", "index", index, "sum", c.audit.own[index], "majority", agreed,
			"disk", c.me.Disk, "leads", c.node.Leads())
	}
}
