package state

import "math/bits"

// The index is what the placer reads instead of walking the tables. It follows
// from them, is kept up by deltas as commands apply, rebuilt on load, and is
// never part of a checkpoint. No outcome of a command rests on it, so two
// copies of the state may hold its lists in another order.

// ServicePriority is a service and a priority: what demand and room are summed by.
type ServicePriority struct {
	Service  string
	Priority int
}

// Resources is an amount of room: cpu in thousandths of a core, memory in MB.
type Resources struct{ MilliCPU, MemoryMB int64 }

// StepRef names a step of one of a job's times.
type StepRef struct {
	Job      string
	Instance int
	Step     int
}

type schedulingIndex struct {
	placeableSteps map[StepRef]struct{}          // may have tasks to place
	used           map[ServicePriority]Resources // by all runs
	capacity       map[string]Resources          // bookable, by service
	workers        map[string]int                // bookable workers, by service
	byFreeCPU      map[string]*[freeCPUClasses]workerSet
	byLabel        map[string]map[string]*workerSet
	booked         []uint64 // since the placer asked
}

// workerSet is a set of workers without an order; each knows its place.
type workerSet struct{ workers []*Worker }

// freeCPUClasses of free room: four to each doubling.
const freeCPUClasses = 160

// freeCPUClass is the class of an amount of free cpu; a worker with more is never in
// a lower one.
func freeCPUClass(milliCPU int64) int {
	if milliCPU < 4 {
		return int(max(milliCPU, 0))
	}
	n := bits.Len64(uint64(milliCPU))
	return min((n-2)*4+int(milliCPU>>(n-3)&3), freeCPUClasses-1)
}

// indexPosition is where a worker stands in the index.
type indexPosition struct {
	indexed      bool
	service      string
	capacity     Resources
	cpuClass     int
	cpuOffset    int
	labels       []string
	labelOffsets []int
}

func (s *Store) rebuildIndex() {
	s.index = schedulingIndex{placeableSteps: map[StepRef]struct{}{}, used: map[ServicePriority]Resources{}, capacity: map[string]Resources{}, workers: map[string]int{},
		byFreeCPU: map[string]*[freeCPUClasses]workerSet{}, byLabel: map[string]map[string]*workerSet{}}
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

// reindexWorker puts a worker where its row says, after any write to it.
func (s *Store) reindexWorker(worker *Worker) {
	position := &worker.position
	schedulable := worker.Schedulable()
	class := freeCPUClass(worker.FreeMilliCPU())
	same := position.indexed && schedulable && position.service == worker.Service && position.capacity == Resources{worker.Capacity.CPUUnits, worker.Capacity.MemoryMB} && equalStrings(position.labels, worker.Labels)
	if same && position.cpuClass == class {
		return
	}
	if same {
		s.removeByFreeCPU(worker)
		position.cpuClass = class
		s.addByFreeCPU(worker)
		return
	}
	if position.indexed {
		s.removeByFreeCPU(worker)
		for i, label := range position.labels {
			s.removeByLabel(position.service, label, position.labelOffsets[i])
		}
		total := s.index.capacity[position.service]
		s.index.capacity[position.service] = Resources{total.MilliCPU - position.capacity.MilliCPU, total.MemoryMB - position.capacity.MemoryMB}
		s.index.workers[position.service]--
	}
	*position = indexPosition{indexed: schedulable}
	if !schedulable {
		return
	}
	position.service, position.cpuClass, position.capacity = worker.Service, class, Resources{worker.Capacity.CPUUnits, worker.Capacity.MemoryMB}
	s.addByFreeCPU(worker)
	for _, label := range worker.Labels {
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
	total := s.index.capacity[position.service]
	s.index.capacity[position.service] = Resources{total.MilliCPU + position.capacity.MilliCPU, total.MemoryMB + position.capacity.MemoryMB}
	s.index.workers[position.service]++
}

func equalStrings(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
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
	set := &s.index.byFreeCPU[worker.position.service][worker.position.cpuClass]
	last := len(set.workers) - 1
	set.workers[worker.position.cpuOffset] = set.workers[last]
	set.workers[worker.position.cpuOffset].position.cpuOffset = worker.position.cpuOffset
	set.workers[last] = nil
	set.workers = set.workers[:last]
}

func (s *Store) removeByLabel(service, label string, offset int) {
	set := s.index.byLabel[service][label]
	last := len(set.workers) - 1
	moved := set.workers[last]
	set.workers[offset] = moved
	for i, other := range moved.position.labels {
		if other == label && moved.position.labelOffsets[i] == last {
			moved.position.labelOffsets[i] = offset
			break
		}
	}
	set.workers[last] = nil
	set.workers = set.workers[:last]
}

// addUsage adds a run to the sums, removeUsage takes it out again.
func (s *Store) addUsage(allocation *Allocation) {
	if job := s.Jobs[allocation.Job]; job != nil {
		allocation.servicePriority = ServicePriority{job.Service, job.Priority}
		used := s.index.used[allocation.servicePriority]
		s.index.used[allocation.servicePriority] = Resources{used.MilliCPU + allocation.MilliCPU, used.MemoryMB + allocation.MemoryMB}
	}
	s.index.booked = append(s.index.booked, allocation.ID)
}

func (s *Store) removeUsage(allocation *Allocation) {
	if allocation.servicePriority == (ServicePriority{}) {
		return
	}
	used := Resources{s.index.used[allocation.servicePriority].MilliCPU - allocation.MilliCPU, s.index.used[allocation.servicePriority].MemoryMB - allocation.MemoryMB}
	if used == (Resources{}) {
		delete(s.index.used, allocation.servicePriority)
	} else {
		s.index.used[allocation.servicePriority] = used
	}
	allocation.servicePriority = ServicePriority{}
}

// markPlaceable notes that a step may have tasks to place.
func (s *Store) markPlaceable(job string, instance *JobInstance, step int) {
	if stepState := &instance.Steps[step]; s.openJobs[job] != nil && stepState.Ready && stepState.TasksLeft > 0 && !instance.Failed {
		s.index.placeableSteps[StepRef{job, instance.Number, step}] = struct{}{}
	}
}

// unmarkPlaceable forgets the steps of a job that is over.
func (s *Store) unmarkPlaceable(job *Job) {
	for _, instance := range job.Instances {
		for i := range instance.Steps {
			delete(s.index.placeableSteps, StepRef{job.ID, instance.Number, i})
		}
	}
}

// EachPlaceableStep gives the steps that may have tasks to place, in no order; one for
// which f says false is left out until something of it changes.
func (s *Store) EachPlaceableStep(visit func(job *Job, instance *JobInstance, step int) bool) {
	for ref := range s.index.placeableSteps {
		job := s.openJobs[ref.Job]
		if job == nil || job.instance(ref.Instance) == nil || !visit(job, job.instance(ref.Instance), ref.Step) {
			delete(s.index.placeableSteps, ref)
		}
	}
}

// UsedByServicePriority is the room that runs hold, by kind; not to be changed.
func (s *Store) UsedByServicePriority() map[ServicePriority]Resources { return s.index.used }

// SchedulableCapacity is the room of a service's workers that can be booked, and their
// number.
func (s *Store) SchedulableCapacity(service string) (Resources, int) {
	return s.index.capacity[service], s.index.workers[service]
}

// TakeBookedRuns hands out the runs that were booked since, some of which may be over.
func (s *Store) TakeBookedRuns() []uint64 {
	out := s.index.booked
	s.index.booked = nil
	return out
}

// EachWorkerByFreeCPU gives a service's bookable workers from the class of cpu upwards, the
// fullest classes first, until f says false.
func (s *Store) EachWorkerByFreeCPU(service string, milliCPU int64, visit func(*Worker) bool) {
	classes := s.index.byFreeCPU[service]
	if classes == nil {
		return
	}
	for class := freeCPUClass(milliCPU); class < freeCPUClasses; class++ {
		for _, w := range classes[class].workers {
			if !visit(w) {
				return
			}
		}
	}
}

// WorkersWithLabel lists a service's bookable workers that bear a label, in no order;
// not to be changed.
func (s *Store) WorkersWithLabel(service, label string) []*Worker {
	if set := s.index.byLabel[service][label]; set != nil {
		return set.workers
	}
	return nil
}
