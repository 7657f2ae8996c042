package scheduler

import (
	"container/heap"
	"sort"

	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// stragglerQueue keeps the runs that may get a copy, by when each is to be looked at
// again, so that a round looks only at those whose time has come.
type stragglerQueue struct {
	checks          checkHeap
	nextCheck       map[uint64]int64 // when a run is to be looked at; older entries of due are void
	troubledWorkers map[string]bool  // workers in trouble at the last round
	initialized     bool             // all runs have been taken up once
}

// scheduledCheck is one run and when it is to be looked at.
type scheduledCheck struct {
	checkAt      int64
	allocationID uint64
}

type checkHeap []scheduledCheck

func (d checkHeap) Len() int { return len(d) }
func (d checkHeap) Less(a, b int) bool {
	return d[a].checkAt < d[b].checkAt || d[a].checkAt == d[b].checkAt && d[a].allocationID < d[b].allocationID
}
func (d checkHeap) Swap(a, b int) { d[a], d[b] = d[b], d[a] }

// Push and Pop are those of container/heap.
func (d *checkHeap) Push(x any) { *d = append(*d, x.(scheduledCheck)) }

// Pop takes the last.
func (d *checkHeap) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// enqueueNew notes new runs of steps that may have copies.
func (q *stragglerQueue) enqueueNew(store *state.Store) {
	if q.nextCheck == nil {
		q.nextCheck = map[uint64]int64{}
	}
	ids := store.TakeBookedRuns()
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
		q.schedule(id, allocation.BookedAt+tuning.MinStragglerAge.Milliseconds())
	}
}

func (q *stragglerQueue) schedule(id uint64, checkAt int64) {
	q.nextCheck[id] = max(checkAt, 1)
	heap.Push(&q.checks, scheduledCheck{max(checkAt, 1), id})
}

// isStraggler tells whether a run is in trouble on its worker or long under way,
// and when to look again if it isn't.
func (p *Planner) isStraggler(store *state.Store, allocation *state.Allocation, job *state.Job) (bool, int64) {
	spec := &job.Steps[allocation.Step]
	expected, factor := float64(spec.EstimateMs)*max(p.EstimateRatio, 0.5), p.stragglerFactor(job.Route)
	if stepState := &job.Instances[allocation.Instance].Steps[allocation.Step]; stepState.DoneRuns >= 2 {
		// Why rather: tasks of one step are alike, estimates are rough.
		expected, factor = float64(stepState.DoneRunsMs)/float64(stepState.DoneRuns), tuning.MinStragglerFactor
	}
	worker := store.Workers[allocation.Worker]
	if worker != nil && worker.RemoteFrom(spec.PreferredRack) {
		expected *= store.RemoteFactor()
	}
	age := float64(store.Clock - allocation.BookedAt)
	unhealthy := worker == nil || !worker.Schedulable() && !worker.Draining || p.SilentWorkers[allocation.Worker] || allocation.Stopping
	if pace, ok := p.Pace(allocation.Worker, store.Clock); ok && pace < tuning.HealthyPaceLimit {
		// Why more: work goes well there, so this is a long task and no slow
		// worker; a copy would take as long.
		factor *= tuning.HealthyWorkerDelayFactor
	}
	late := age > float64(tuning.MinStragglerAge.Milliseconds()) && (age > factor*expected || p.Slowdown[allocation.Worker] > tuning.SlowWorkerFactor && age < expected)
	// Why by its age: what runs for long needs no look each moment, and what is
	// about to be late needs one just then.
	pause := max(tuning.StragglerCheckInterval.Milliseconds(), int64(age)/8)
	if left := int64(factor*expected-age) + 1; left > 0 {
		pause = min(pause, max(left, tuning.MinStragglerCheckInterval.Milliseconds()))
	}
	return unhealthy || late, store.Clock + pause
}

// RecordCompletion takes note of a run that ended as done. Estimates are rough, and how
// rough differs by route: the factor that StragglerFraction of the runs exceed is
// followed, one step a run, up where it was exceeded and down where not.
func (p *Planner) RecordCompletion(store *state.Store, allocation *state.Allocation, endedAt int64) {
	job := store.Jobs[allocation.Job]
	if job == nil || allocation.Checkpoint != "" || job.Steps[allocation.Step].EstimateMs <= 0 || job.Steps[allocation.Step].LongRunning {
		return
	}
	spec := &job.Steps[allocation.Step]
	expected := float64(spec.EstimateMs) * max(p.EstimateRatio, 0.5)
	duration := float64(endedAt - allocation.BookedAt)
	if worker := store.Workers[allocation.Worker]; worker != nil && worker.RemoteFrom(spec.PreferredRack) {
		expected *= store.RemoteFactor()
		duration /= store.RemoteFactor()
	}
	p.recordPace(allocation, &job.Instances[allocation.Instance].Steps[allocation.Step], duration, endedAt)
	factor := p.stragglerFactor(job.Route)
	if float64(endedAt-allocation.BookedAt) > factor*expected {
		factor *= 1 + tuning.StragglerLearningRate
	} else {
		factor *= 1 - tuning.StragglerLearningRate*tuning.StragglerFraction
	}
	if p.stragglerFactors == nil {
		p.stragglerFactors = map[string]float64{}
	}
	p.stragglerFactors[job.Route] = min(max(factor, tuning.MinStragglerFactor), tuning.MaxStragglerFactor)
}

// stragglerFactor is how many times as long as guessed a run of a route may take.
func (p *Planner) stragglerFactor(route string) float64 {
	if factor := p.stragglerFactors[route]; factor > 0 {
		return factor
	}
	return tuning.InitialStragglerFactor
}

// speculativeRequests are tasks of steps that allow it whose only run is in trouble: on a
// quiet or sick worker, or much longer under way than usual.
func (p *Planner) speculativeRequests(store *state.Store) []placementRequest {
	queue := &p.stragglers
	queue.enqueueNew(store)
	var ids []uint64
	for len(queue.checks) > 0 && queue.checks[0].checkAt <= store.Clock {
		if check := heap.Pop(&queue.checks).(scheduledCheck); queue.nextCheck[check.allocationID] == check.checkAt {
			ids = append(ids, check.allocationID)
		}
	}
	troubled := map[string]bool{}
	for id := range p.SilentWorkers {
		troubled[id] = true
	}
	for id := range p.UnhealthyWorkers {
		troubled[id] = true
	}
	for id := range troubled {
		if queue.troubledWorkers[id] {
			continue
		}
		// Why at once: what is known to be in trouble needs no wait.
		for _, a := range store.AllocationsOn(id) {
			if queue.nextCheck[a.ID] != 0 {
				ids = append(ids, a.ID)
			}
		}
	}
	queue.troubledWorkers = troubled
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	var requests []placementRequest
	indexByStep := map[string]int{}
	last := uint64(0)
	for _, id := range ids {
		a := store.Allocations[id]
		if a == nil {
			delete(queue.nextCheck, id)
			continue
		}
		if id == last {
			continue
		}
		last = id
		job := store.Jobs[a.Job]
		if job == nil || job.Canceled || job.Failed {
			continue
		}
		instance := job.Instances[a.Instance]
		task := &instance.Steps[a.Step].Tasks[a.TaskIndex]
		straggles, checkAt := p.isStraggler(store, a, job)
		queue.schedule(id, checkAt)
		if task.Done || len(task.Allocations) != 1 || !straggles {
			continue
		}
		stepName := state.TaskName(a.Job, a.Instance, a.Step, 0)
		index, found := indexByStep[stepName]
		if !found {
			index = len(requests)
			indexByStep[stepName] = index
			requests = append(requests, placementRequest{job: job, instance: instance, step: a.Step, speculative: true, excludedWorkers: map[string]bool{}})
		}
		requests[index].excludedWorkers[a.Worker] = true
		requests[index].tasks = append(requests[index].tasks, state.Placement{TaskIndex: a.TaskIndex, Copy: 1 - a.Copy})
	}
	return requests
}
