package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"tealpond/internal/state"
)

// minStragglerAge is the minimum age of a run for it to count as overdue.
const minStragglerAge = 250 * time.Millisecond

// stragglerQueue holds the runs that may get a speculative copy, ordered by the time of
// their next check, so that a plan examines only those that are due.
type stragglerQueue struct {
	checks         checkHeap
	nextCheck      map[uint64]int64 // by allocation ID; checks at other times are obsolete
	suspectWorkers map[string]bool  // as of the last plan
	initialized    bool             // runs older than this planner have been added
}

// scheduledCheck is the time of a run's next check, in ms of the state clock.
type scheduledCheck struct {
	checkAt      int64
	allocationID uint64
}

// checkHeap is a heap.Interface with the earliest check first.
type checkHeap []scheduledCheck

func (h checkHeap) Len() int { return len(h) }

func (h checkHeap) Less(a, b int) bool {
	return h[a].checkAt < h[b].checkAt || h[a].checkAt == h[b].checkAt && h[a].allocationID < h[b].allocationID
}

func (h checkHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push appends a scheduledCheck, for package heap.
func (h *checkHeap) Push(x any) { *h = append(*h, x.(scheduledCheck)) }

// Pop removes the last element, for package heap.
func (h *checkHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// enqueueNew adds the runs allocated since the last plan that may get speculative copies.
func (q *stragglerQueue) enqueueNew(store *state.Store) {
	if q.nextCheck == nil {
		q.nextCheck = map[uint64]int64{}
	}
	ids := store.TakeNewAllocations()
	if !q.initialized {
		q.initialized = true
		ids = ids[:0:0]
		for id := range store.Allocations {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		allocation := store.Allocations[id]
		if allocation == nil || q.nextCheck[id] != 0 {
			continue
		}
		job := store.Jobs[allocation.Job]
		if job == nil || !job.Steps[allocation.Step].Speculative || job.IsGang(allocation.Step) {
			continue
		}
		q.schedule(id, allocation.AllocatedAt+minStragglerAge.Milliseconds())
	}
}

// schedule sets the time of a run's next check.
func (q *stragglerQueue) schedule(allocationID uint64, checkAt int64) {
	checkAt = max(checkAt, 1) // 0 in nextCheck means none
	q.nextCheck[allocationID] = checkAt
	heap.Push(&q.checks, scheduledCheck{checkAt, allocationID})
}

// takeDue removes the checks that are due and returns the IDs of their runs, sorted,
// together with those of the runs on workers that became suspect since the last plan,
// which are checked at once.
func (q *stragglerQueue) takeDue(store *state.Store, suspectWorkers map[string]bool) []uint64 {
	var ids []uint64
	for len(q.checks) > 0 && q.checks[0].checkAt <= store.Clock {
		if check := heap.Pop(&q.checks).(scheduledCheck); q.nextCheck[check.allocationID] == check.checkAt {
			ids = append(ids, check.allocationID)
		}
	}
	for worker := range suspectWorkers {
		if q.suspectWorkers[worker] {
			continue
		}
		for _, allocation := range store.AllocationsOn(worker) {
			if q.nextCheck[allocation.ID] != 0 {
				ids = append(ids, allocation.ID)
			}
		}
	}
	q.suspectWorkers = suspectWorkers
	slices.Sort(ids)
	return slices.Compact(ids)
}
