package raft

import (
	"container/heap"
	"fmt"
	"runtime/debug"
	"sort"
	"strings"
	"time"
)

// The walk of the model test: events in chronological order, then the recovery after all faults
// have ended.

// event is a function to run at a simulated time. seq orders events of the same time.
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

// run processes events for a number of steps, until a check fails, or until() returns true.
func (c *modelCluster) run(steps int, until func() bool) *failure {
	for i := 0; i < steps && c.checks.failure == nil && len(c.queue) > 0; i++ {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		c.step++
		c.runRecoveringPanic(next.run)
		if until != nil && until() {
			break
		}
	}
	return c.checks.failure
}

// runRecoveringPanic runs a function and turns a panic into a failure.
func (c *modelCluster) runRecoveringPanic(run func()) {
	defer func() {
		if r := recover(); r != nil {
			c.checks.onPanic(fmt.Sprintf("%v\n%s", r, debug.Stack()))
		}
	}()
	run()
}

// recoveryTimeout limits the time from the end of all faults until a new command is committed
// and applied by all voters, and a pending configuration change is completed.
const recoveryTimeout = 12 * time.Second

// walk runs a walk: a number of steps with faults, then a phase without faults, in which a
// command must be committed and applied by all voters within recoveryTimeout.
func (c *modelCluster) walk(steps int) *failure {
	// The number of steps doesn't limit a call into package raft that never returns.
	watchdog := time.AfterFunc(time.Minute, func() {
		panic(fmt.Sprintf("model: seed %d, mutation %q: a call did not return within a minute at step %d",
			c.seed, c.mutation.name, c.step))
	})
	defer watchdog.Stop()
	if failed := c.run(steps, nil); failed != nil {
		return failed
	}
	c.heal()
	lastCommand := c.commands
	healed := c.now
	recovered := false
	failed := c.run(400_000, func() bool {
		recovered = c.recoveredSince(lastCommand)
		return recovered || c.now > healed+recoveryTimeout
	})
	if failed == nil && !recovered {
		c.checks.fail(checkLiveness, "not within %v after the end of all faults: %s", recoveryTimeout, c.describe())
	}
	c.recovered = c.now - healed
	return c.checks.failure
}

// recoveredSince reports whether a command after lastCommand is applied by all voters that have
// a disk, and no configuration change is pending.
func (c *modelCluster) recoveredSince(lastCommand int) bool {
	var command int
	if _, err := fmt.Sscanf(c.lastAckedCommand, "c%d", &command); err != nil || command <= lastCommand || c.change != nil {
		return false
	}
	for _, member := range c.members {
		if member.node == nil || !member.node.LeaderReady() || !member.node.HasLease(member.clock(c.now)) {
			continue
		}
		for _, id := range allVoters(member.node) {
			if voter := c.byID[id]; !voter.lost && (voter.node == nil || voter.node.AppliedIndex() < c.lastAckedIndex) {
				return false
			}
		}
		return true
	}
	return false
}

// describe returns a description of the state of each member.
func (c *modelCluster) describe() string {
	var text strings.Builder
	if c.change != nil {
		fmt.Fprintf(&text, "change out=%q in=%q;", c.change.outgoing, c.change.incoming)
	}
	for _, member := range c.members {
		if member.node == nil {
			fmt.Fprintf(&text, " %s: down (lost %v, retired %v);", member.id, member.lost, member.retired)
			continue
		}
		node := member.node
		fmt.Fprintf(&text, " %s: term %d is leader %v ready %v lease %v leader %q last %d commit %d applied %d conf %d %v;",
			member.id, node.Term(), node.IsLeader(), node.LeaderReady(), node.HasLease(member.clock(c.now)), node.Leader(),
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
// Node iterates over maps. Messages to the same member keep their order.
func sortByReceiver(messages []Message) {
	sort.SliceStable(messages, func(i, j int) bool { return messages[i].To < messages[j].To })
}
