package state

import (
	"math/bits"
	"slices"

	"tealpond/internal/protocol"
)

// schedulingIndex contains sets and totals that the scheduler reads so that it need not scan
// the tables. It is derived from them: commands update it incrementally, and it is rebuilt
// after a snapshot is restored or a new configuration is applied. It is not part of the
// replicated state. Its sets may be ordered differently on two replicas, so no outcome of a
// command may depend on their order.
type schedulingIndex struct {
	placeableSteps map[StepRef]struct{}                  // steps that may have tasks to place
	used           map[ServicePriority]Resources         // resources of all runs
	capacity       map[string]Resources                  // capacity of schedulable workers, by service
	workers        map[string]int                        // number of schedulable workers, by service
	byFreeCPU      map[string]*[freeCPUClasses]workerSet // schedulable workers, by service and class of free CPU
	byLabel        map[string]map[string]*workerSet      // schedulable workers, by service and label
	newAllocations []uint64                              // IDs of allocations added since the last TakeNewAllocations
	tenantUse      map[string]TenantUse                  // resources of all runs, by tenant
	// tenantPriorityUse is tenantUse broken down by priority.
	tenantPriorityUse map[TenantPriority]TenantUse
}

// ServicePriority is the service and the priority by which resource use is grouped.
type ServicePriority struct {
	Service  string
	Priority int
}

// Resources is an amount of CPU, in millicores, and of memory.
type Resources struct{ MilliCPU, MemoryMB int64 }

func (r Resources) plus(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB}
}

func (r Resources) minus(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB}
}

func resourcesOf(r protocol.Resources) Resources { return Resources{r.CPUUnits, r.MemoryMB} }

// StepRef identifies a step of a job instance.
type StepRef struct {
	Job      string
	Instance int
	Step     int
}

// workerSet is an unordered set of workers. Each worker stores its offset in the set, so that
// removal takes constant time.
type workerSet struct{ workers []*Worker }

// removeAt removes the worker at an offset by moving the last worker to its place. It returns
// the moved worker, which is the removed one if that was the last.
func (w *workerSet) removeAt(offset int) *Worker {
	last := len(w.workers) - 1
	moved := w.workers[last]
	w.workers[offset] = moved
	w.workers[last] = nil
	w.workers = w.workers[:last]
	return moved
}

// indexPosition is a worker's position in the index, with the values it was indexed under.
type indexPosition struct {
	indexed      bool
	service      string
	capacity     Resources
	cpuClass     int
	cpuOffset    int // in the set of its free-CPU class
	labels       []string
	labelOffsets []int // in the sets of its labels, in the order of labels
}

// freeCPUClasses is the number of classes of free CPU. There are four classes per power of
// two; the last class also has all workers with more.
const freeCPUClasses = 160

// freeCPUClass returns the class of an amount of free CPU. A worker with more free CPU is never
// in a lower class.
func freeCPUClass(milliCPU int64) int {
	if milliCPU < 4 {
		return int(max(milliCPU, 0))
	}
	n := bits.Len64(uint64(milliCPU))
	return min((n-2)*4+int(milliCPU>>(n-3)&3), freeCPUClasses-1)
}

// rebuildIndex computes the scheduling index from the tables.
func (s *Store) rebuildIndex() {
	s.index = schedulingIndex{
		placeableSteps: map[StepRef]struct{}{},
		used:           map[ServicePriority]Resources{},
		capacity:       map[string]Resources{},
		workers:        map[string]int{},
		byFreeCPU:      map[string]*[freeCPUClasses]workerSet{},
		byLabel:        map[string]map[string]*workerSet{},
		tenantUse:      map[string]TenantUse{},

		tenantPriorityUse: map[TenantPriority]TenantUse{},
	}
	for _, worker := range s.Workers {
		worker.position = indexPosition{}
		s.reindexWorker(worker)
	}
	for _, allocation := range s.Allocations {
		allocation.counted = false
		s.addUsage(allocation)
	}
	for _, job := range s.openJobs {
		for _, instance := range job.Instances {
			for i := range instance.Steps {
				s.markPlaceable(job.ID, instance, i)
			}
		}
	}
}

// reindexWorker updates a worker's position in the index. It must be called after every write
// to the worker's row.
func (s *Store) reindexWorker(worker *Worker) {
	position := &worker.position
	worker.evacuated = s.Evacuations[worker.Zone].Evacuated
	schedulable := worker.Schedulable()
	class := freeCPUClass(worker.FreeMilliCPU())
	capacity := resourcesOf(worker.Capacity)
	if position.indexed && schedulable && position.service == worker.Service && position.capacity == capacity &&
		slices.Equal(position.labels, worker.Labels) {
		if position.cpuClass != class {
			s.removeByFreeCPU(worker)
			position.cpuClass = class
			s.addByFreeCPU(worker)
		}
		return
	}
	if position.indexed {
		s.removeByFreeCPU(worker)
		for i, label := range position.labels {
			s.removeByLabel(position.service, label, position.labelOffsets[i])
		}
		s.index.capacity[position.service] = s.index.capacity[position.service].minus(position.capacity)
		s.index.workers[position.service]--
	}
	*position = indexPosition{indexed: schedulable}
	if !schedulable {
		return
	}
	position.service, position.cpuClass, position.capacity = worker.Service, class, capacity
	s.addByFreeCPU(worker)
	for _, label := range worker.Labels {
		s.addByLabel(worker, label)
	}
	s.index.capacity[position.service] = s.index.capacity[position.service].plus(capacity)
	s.index.workers[position.service]++
}

func (s *Store) addByFreeCPU(worker *Worker) {
	classes := s.index.byFreeCPU[worker.position.service]
	if classes == nil {
		classes = &[freeCPUClasses]workerSet{}
		s.index.byFreeCPU[worker.position.service] = classes
	}
	set := &classes[worker.position.cpuClass]
	worker.position.cpuOffset = len(set.workers)
	set.workers = append(set.workers, worker)
}

func (s *Store) removeByFreeCPU(worker *Worker) {
	offset := worker.position.cpuOffset
	moved := s.index.byFreeCPU[worker.position.service][worker.position.cpuClass].removeAt(offset)
	moved.position.cpuOffset = offset
}

func (s *Store) addByLabel(worker *Worker, label string) {
	position := &worker.position
	sets := s.index.byLabel[position.service]
	if sets == nil {
		sets = map[string]*workerSet{}
		s.index.byLabel[position.service] = sets
	}
	if sets[label] == nil {
		sets[label] = &workerSet{}
	}
	position.labels, position.labelOffsets = append(position.labels, label), append(position.labelOffsets, len(sets[label].workers))
	sets[label].workers = append(sets[label].workers, worker)
}

func (s *Store) removeByLabel(service, label string, offset int) {
	set := s.index.byLabel[service][label]
	last := len(set.workers) - 1
	moved := set.removeAt(offset)
	for i, other := range moved.position.labels {
		if other == label && moved.position.labelOffsets[i] == last {
			moved.position.labelOffsets[i] = offset
			break
		}
	}
}

// addUsage adds a run's resources to the totals of its worker's service, and of its job's priority
// and tenant.
func (s *Store) addUsage(allocation *Allocation) {
	if job := s.Jobs[allocation.Job]; job != nil {
		allocation.servicePriority = ServicePriority{s.serviceOfRun(allocation, job), job.Priority}
		// In the first format, the use of a job without a service is not subtracted again.
		allocation.counted = s.Format >= FormatSplitJobs || job.Service != "" || job.Priority != 0
		used := s.index.used[allocation.servicePriority]
		s.index.used[allocation.servicePriority] = used.plus(Resources{allocation.MilliCPU, allocation.MemoryMB})
		allocation.tenant = job.Tenant()
		s.adjustTenantUse(allocation, 1)
	}
	s.index.newAllocations = append(s.index.newAllocations, allocation.ID)
}

// serviceOfRun returns the service whose capacity a run uses. The job's service may have changed
// since the run was allocated.
func (s *Store) serviceOfRun(allocation *Allocation, job *Job) string {
	if worker := s.Workers[allocation.Worker]; worker != nil {
		return worker.Service
	}
	return job.Service
}

// ServiceOfRun returns the service whose capacity the run uses.
func (a *Allocation) ServiceOfRun() string { return a.servicePriority.Service }

// removeUsage subtracts what addUsage added.
func (s *Store) removeUsage(allocation *Allocation) {
	if !allocation.counted {
		return
	}
	used := s.index.used[allocation.servicePriority].minus(Resources{allocation.MilliCPU, allocation.MemoryMB})
	if used == (Resources{}) {
		delete(s.index.used, allocation.servicePriority)
	} else {
		s.index.used[allocation.servicePriority] = used
	}
	s.adjustTenantUse(allocation, -1)
	allocation.counted = false
}

// markPlaceable records that a step may have tasks to place, if its job is open and the step is
// ready and not done.
func (s *Store) markPlaceable(job string, instance *JobInstance, step int) {
	if stepState := &instance.Steps[step]; s.openJobs[job] != nil && stepState.Ready && stepState.TasksLeft > 0 && !instance.Failed {
		s.index.placeableSteps[StepRef{job, instance.Number, step}] = struct{}{}
	}
}

// unmarkPlaceable records that a step has no tasks to place.
func (s *Store) unmarkPlaceable(job string, instance *JobInstance, step int) {
	delete(s.index.placeableSteps, StepRef{job, instance.Number, step})
}

// EachPlaceableStep calls visit for the steps that may have tasks to place, in no particular
// order. A step for which visit returns false is not visited again until a change may
// have made one of its tasks placeable.
func (s *Store) EachPlaceableStep(visit func(job *Job, instance *JobInstance, step int) bool) {
	for ref := range s.index.placeableSteps {
		job := s.openJobs[ref.Job]
		if job == nil || job.instance(ref.Instance) == nil || !visit(job, job.instance(ref.Instance), ref.Step) {
			delete(s.index.placeableSteps, ref)
		}
	}
}

// UsedByServicePriority returns the resources of all runs, by service and priority. The
// caller must not modify the map.
func (s *Store) UsedByServicePriority() map[ServicePriority]Resources { return s.index.used }

// SchedulableCapacity returns the total capacity of a service's schedulable workers, and
// their number.
func (s *Store) SchedulableCapacity(service string) (Resources, int) {
	return s.index.capacity[service], s.index.workers[service]
}

// TakeNewAllocations returns the IDs of the allocations that were added since the last call.
// Some of them may have ended. After the index was rebuilt, it returns all allocations.
func (s *Store) TakeNewAllocations() []uint64 { return takeAll(&s.index.newAllocations) }

// EachWorkerByFreeCPU calls visit for a service's schedulable workers, in ascending order of
// their free-CPU classes, until visit returns false. It starts with the class of the given
// amount, in which some workers may have less than that.
func (s *Store) EachWorkerByFreeCPU(service string, milliCPU int64, visit func(*Worker) bool) {
	classes := s.index.byFreeCPU[service]
	if classes == nil {
		return
	}
	for class := freeCPUClass(milliCPU); class < freeCPUClasses; class++ {
		for _, worker := range classes[class].workers {
			if !visit(worker) {
				return
			}
		}
	}
}

// WorkersWithLabel returns a service's schedulable workers that have a label, in no
// particular order. The caller must not modify the slice.
func (s *Store) WorkersWithLabel(service, label string) []*Worker {
	if set := s.index.byLabel[service][label]; set != nil {
		return set.workers
	}
	return nil
}
