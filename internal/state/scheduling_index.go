package state

import (
	"math/bits"
	"slices"

	"tealpond/internal/protocol"
)

// schedulingIndex is what the scheduler reads instead of walking the tables. It
// follows from them, is kept up as commands apply, is rebuilt with a snapshot or
// a new configuration, and is not part of the state. No outcome of a command
// depends on the order of its sets, so two replicas may have them in different ones.
type schedulingIndex struct {
	placeableSteps map[StepRef]struct{}          // may have tasks to place
	used           map[ServicePriority]Resources // by all runs
	capacity       map[string]Resources          // of schedulable workers, by service
	workers        map[string]int                // number of schedulable workers, by service
	byFreeCPU      map[string]*[freeCPUClasses]workerSet
	byLabel        map[string]map[string]*workerSet // by service and label
	newAllocations []uint64                         // since TakeNewAllocations was called
	tenantUse      map[string]TenantUse             // by tenant
	// tenantPriorityUse has the same by tenant and priority.
	tenantPriorityUse map[TenantPriority]TenantUse
}

// ServicePriority is a service and a priority, by which use is summed up.
type ServicePriority struct {
	Service  string
	Priority int
}

// Resources is an amount of CPU, in thousandths of a core, and of memory.
type Resources struct{ MilliCPU, MemoryMB int64 }

func (r Resources) plus(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB}
}

func (r Resources) minus(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB}
}

func resourcesOf(r protocol.Resources) Resources { return Resources{r.CPUUnits, r.MemoryMB} }

// StepRef names a step of a job's instance.
type StepRef struct {
	Job      string
	Instance int
	Step     int
}

// workerSet is a set of workers in no order. Each worker knows its offset in it.
type workerSet struct{ workers []*Worker }

// removeAt removes a worker and returns the one that is moved to its offset,
// which is the worker itself if it is the last.
func (w *workerSet) removeAt(offset int) *Worker {
	last := len(w.workers) - 1
	moved := w.workers[last]
	w.workers[offset] = moved
	w.workers[last] = nil
	w.workers = w.workers[:last]
	return moved
}

// indexPosition is where a worker stands in the index.
type indexPosition struct {
	indexed      bool
	service      string
	capacity     Resources
	cpuClass     int
	cpuOffset    int // in the set of its class
	labels       []string
	labelOffsets []int // in the set of each label
}

// freeCPUClasses is the number of classes of free CPU. There are four to each
// doubling; the last one has all workers with more.
const freeCPUClasses = 160

// freeCPUClass is the class of an amount of free CPU. A worker that has more is
// never in a lower class.
func freeCPUClass(milliCPU int64) int {
	if milliCPU < 4 {
		return int(max(milliCPU, 0))
	}
	n := bits.Len64(uint64(milliCPU))
	return min((n-2)*4+int(milliCPU>>(n-3)&3), freeCPUClasses-1)
}

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
		allocation.servicePriority = ServicePriority{}
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

// reindexWorker moves a worker to where its row says. It is to be called after
// any write to the row.
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

// addUsage adds a run's resources to those of its job's service and priority.
func (s *Store) addUsage(allocation *Allocation) {
	if job := s.Jobs[allocation.Job]; job != nil {
		allocation.servicePriority = ServicePriority{job.Service, job.Priority}
		used := s.index.used[allocation.servicePriority]
		s.index.used[allocation.servicePriority] = used.plus(Resources{allocation.MilliCPU, allocation.MemoryMB})
		allocation.tenant = job.Tenant()
		s.adjustTenantUse(allocation, 1)
	}
	s.index.newAllocations = append(s.index.newAllocations, allocation.ID)
}

// removeUsage takes off what addUsage added.
func (s *Store) removeUsage(allocation *Allocation) {
	if allocation.servicePriority == (ServicePriority{}) {
		return
	}
	used := s.index.used[allocation.servicePriority].minus(Resources{allocation.MilliCPU, allocation.MemoryMB})
	if used == (Resources{}) {
		delete(s.index.used, allocation.servicePriority)
	} else {
		s.index.used[allocation.servicePriority] = used
	}
	s.adjustTenantUse(allocation, -1)
	allocation.servicePriority = ServicePriority{}
}

// markPlaceable notes that a step may have tasks to place, if that can be.
func (s *Store) markPlaceable(job string, instance *JobInstance, step int) {
	if stepState := &instance.Steps[step]; s.openJobs[job] != nil && stepState.Ready && stepState.TasksLeft > 0 && !instance.Failed {
		s.index.placeableSteps[StepRef{job, instance.Number, step}] = struct{}{}
	}
}

// unmarkPlaceable notes that a step has no tasks to place.
func (s *Store) unmarkPlaceable(job string, instance *JobInstance, step int) {
	delete(s.index.placeableSteps, StepRef{job, instance.Number, step})
}

// EachPlaceableStep visits the steps that may have tasks to place, in no order.
// A step for which visit returns false isn't visited again until something
// changes that may make one of its tasks placeable.
func (s *Store) EachPlaceableStep(visit func(job *Job, instance *JobInstance, step int) bool) {
	for ref := range s.index.placeableSteps {
		job := s.openJobs[ref.Job]
		if job == nil || job.instance(ref.Instance) == nil || !visit(job, job.instance(ref.Instance), ref.Step) {
			delete(s.index.placeableSteps, ref)
		}
	}
}

// UsedByServicePriority is the resources of all runs, by service and priority. The
// caller must not change it.
func (s *Store) UsedByServicePriority() map[ServicePriority]Resources { return s.index.used }

// SchedulableCapacity is the capacity of a service's schedulable workers, and
// their number.
func (s *Store) SchedulableCapacity(service string) (Resources, int) {
	return s.index.capacity[service], s.index.workers[service]
}

// TakeNewAllocations returns the IDs of the allocations that were added since the
// last call. Some of them may have ended. After a rebuild it returns all.
func (s *Store) TakeNewAllocations() []uint64 { return take(&s.index.newAllocations) }

// EachWorkerByFreeCPU visits a service's schedulable workers, those of the least
// free CPU first, until visit returns false. It begins with the class of the
// given amount, in which some may have less.
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

// WorkersWithLabel lists a service's schedulable workers that bear a label, in
// no order. The caller must not change the list.
func (s *Store) WorkersWithLabel(service, label string) []*Worker {
	if set := s.index.byLabel[service][label]; set != nil {
		return set.workers
	}
	return nil
}
