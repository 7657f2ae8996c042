package raft

import (
	"container/heap"
	"fmt"
	"runtime/debug"
	"sort"
	"strings"
	"time"
)

// The walk of the model test: events in the order of time, then the end of all faults.

// event is something that happens at a set time; seq orders those of the same time.
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
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		w.step++
		w.runGuarded(next.run)
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

// recoverWithin bounds the time from the end of all faults until a command is committed
// and applied by all voters, and an open configuration change is completed.
const recoverWithin = 12 * time.Second

// walk plays one seed: faults for a number of steps, then none, and a command must be
// committed and applied by all voters within recoverWithin.
func (w *modelWorld) walk(steps int) *failure {
	// A call into the package that never returns can't be counted in steps.
	hangTimer := time.AfterFunc(time.Minute, func() {
		panic(fmt.Sprintf("model: seed %d, mutation %q: a call never returned at step %d", w.seed, w.mutation.name, w.step))
	})
	defer hangTimer.Stop()
	if failed := w.run(steps, nil); failed != nil {
		return failed
	}
	w.heal()
	lastCommand := w.commands
	healed := w.now
	recovered := false
	failed := w.run(400_000, func() bool {
		recovered = w.recoveredSince(lastCommand)
		return recovered || w.now > healed+recoverWithin
	})
	if failed == nil && !recovered {
		w.checks.fail(checkLiveness, "not within %v after all was healed: %s", recoverWithin, w.describe())
	}
	w.recovered = w.now - healed
	return w.checks.failure
}

// recoveredSince reports whether a command after lastCommand is applied by all voters.
func (w *modelWorld) recoveredSince(lastCommand int) bool {
	var command int
	if _, err := fmt.Sscanf(w.lastAckedCommand, "c%d", &command); err != nil || command <= lastCommand || w.change != nil {
		return false
	}
	for _, member := range w.members {
		if member.node == nil || !member.node.LeaderReady() || !member.node.HasLease(member.clock(w.now)) {
			continue
		}
		for _, id := range allVoters(member.node) {
			if voter := w.byID[id]; !voter.lost && (voter.node == nil || voter.node.AppliedIndex() < w.lastAckedIndex) {
				return false
			}
		}
		return true
	}
	return false
}

// describe tells what state each member is in.
func (w *modelWorld) describe() string {
	var text strings.Builder
	if w.change != nil {
		fmt.Fprintf(&text, "change out=%q in=%q;", w.change.outgoing, w.change.incoming)
	}
	for _, member := range w.members {
		if member.node == nil {
			fmt.Fprintf(&text, " %s: down (lost %v, retired %v);", member.id, member.lost, member.retired)
			continue
		}
		node := member.node
		fmt.Fprintf(&text, " %s: term %d is leader %v ready %v lease %v leader %q last %d commit %d applied %d conf %d %v;",
			member.id, node.Term(), node.IsLeader(), node.LeaderReady(), node.HasLease(member.clock(w.now)), node.Leader(),
			node.LastIndex(), node.CommitIndex(), node.AppliedIndex(), node.ConfIndex(), currentVoterSets(node))
	}
	return text.String()
}

var kindNames = map[MessageKind]string{
	MsgAppend:          "append",
	MsgAppendResponse:  "append-response",
	MsgPreVote:         "pre-vote",
	MsgPreVoteResponse: "pre-vote-response",
	MsgVote:            "vote",
	MsgVoteResponse:    "vote-response",
	MsgSnapshot:        "snapshot",
	MsgTimeoutNow:      "timeout-now",
}

// sortByReceiver makes the order of messages to different members deterministic, since a
// Node iterates over maps. Those to one member keep their order.
func sortByReceiver(messages []Message) {
	sort.SliceStable(messages, func(i, j int) bool { return messages[i].To < messages[j].To })
}
