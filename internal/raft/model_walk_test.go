package raft

import (
	"container/heap"
	"fmt"
	"runtime/debug"
	"sort"
	"strings"
	"time"
)

// The walk of the model test: events in the order of time, then all healed.

// event is something that happens at a set time; seq orders those of one time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// run goes on for a number of steps, or until something fails.
func (w *modelWorld) run(steps int, until func() bool) *failure {
	for i := 0; i < steps && w.checks.failure == nil && len(w.queue) > 0; i++ {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.step++
		w.runGuarded(e.run)
		if until != nil && until() {
			break
		}
	}
	return w.checks.failure
}

// runGuarded turns a panic into a failure.
func (w *modelWorld) runGuarded(run func()) {
	defer func() {
		if r := recover(); r != nil {
			w.checks.panicked(fmt.Sprintf("%v\n%s", r, debug.Stack()))
		}
	}()
	run()
}

// recoverWithin bounds the time after which a command must be committed and
// applied by all voters, an open change of the voters included, once all is
// healed.
const recoverWithin = 12 * time.Second

// walk plays one seed: faults for so many steps, then all is healed, and a
// command must be committed and applied by all within bounds.
func (w *modelWorld) walk(steps int) *failure {
	// A call into the package that never returns can't be counted in steps.
	hung := time.AfterFunc(time.Minute, func() {
		panic(fmt.Sprintf("model: seed %d, break %q: a call never returned at step %d", w.seed, w.mutation.name, w.step))
	})
	defer hung.Stop()
	if f := w.run(steps, nil); f != nil {
		return f
	}
	w.heal()
	mark := w.commands
	healed := w.now
	ok := false
	f := w.run(400_000, func() bool {
		ok = w.recoveredSince(mark)
		return ok || w.now > healed+recoverWithin
	})
	if f == nil && !ok {
		w.checks.fail(checkLiveness, "not within %v after all was healed: %s", recoverWithin, w.describe())
	}
	w.recovered = w.now - healed
	return w.checks.failure
}

// recoveredSince tells whether a command from after mark is applied by all voters.
func (w *modelWorld) recoveredSince(mark int) bool {
	var n int
	if _, err := fmt.Sscanf(w.lastAckedCommand, "c%d", &n); err != nil || n <= mark || w.change != nil {
		return false
	}
	for _, m := range w.members {
		if m.node == nil || !m.node.LeaderReady() || !m.node.HasLease(m.clock(w.now)) {
			continue
		}
		for _, id := range allVoters(m.node) {
			if o := w.byID[id]; !o.lost && (o.node == nil || o.node.AppliedIndex() < w.lastAckedIndex) {
				return false
			}
		}
		return true
	}
	return false
}

func (w *modelWorld) describe() string {
	var b strings.Builder
	if w.change != nil {
		fmt.Fprintf(&b, "change out=%q in=%q;", w.change.outgoing, w.change.incoming)
	}
	for _, m := range w.members {
		if m.node == nil {
			fmt.Fprintf(&b, " %s: down (lost %v, retired %v);", m.id, m.lost, m.retired)
			continue
		}
		n := m.node
		fmt.Fprintf(&b, " %s: term %d leads %v ready %v lease %v lead %q last %d commit %d applied %d conf %d %v;", m.id, n.Term(), n.IsLeader(),
			n.LeaderReady(), n.HasLease(m.clock(w.now)), n.Leader(), n.LastIndex(), n.CommitIndex(), n.AppliedIndex(), n.ConfIndex(), currentVoterSets(n))
	}
	return b.String()
}

var kindNames = map[MessageKind]string{MsgAppend: "append", MsgAppendResponse: "append-answer", MsgPreVote: "pre-vote", MsgPreVoteResponse: "pre-vote-answer",
	MsgVote: "vote", MsgVoteResponse: "vote-answer", MsgSnapshot: "snapshot", MsgTimeoutNow: "transfer"}

// sortByReceiver makes the order of messages to different members the same
// each time: a Node goes over maps. Those to one member keep their order.
func sortByReceiver(ms []Message) {
	sort.SliceStable(ms, func(i, j int) bool { return ms[i].To < ms[j].To })
}
