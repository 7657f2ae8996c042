package state

// addInstance creates the next instance of a job.
func (s *Store) addInstance(job *Job) {
	instance := &JobInstance{
		Number:    job.NextInstance,
		CreatedAt: s.Clock,
		StepsLeft: len(job.Steps),
		Steps:     make([]StepState, len(job.Steps)),
	}
	for i, step := range job.Steps {
		instance.Steps[i] = StepState{TasksLeft: step.TaskCount, Tasks: make([]Task, step.TaskCount)}
	}
	job.Instances = append(job.Instances, instance)
	job.NextInstance++
	s.readySteps(job, instance)
}

// readySteps makes steps ready whose dependencies are done: their tasks get
// their locks and may be placed.
func (s *Store) readySteps(job *Job, instance *JobInstance) {
	for i := range instance.Steps {
		stepState := &instance.Steps[i]
		if stepState.Ready || !instance.dependenciesDone(job.Steps[i].DependsOn) {
			continue
		}
		stepState.Ready, stepState.ReadyAt = true, s.Clock
		for task := range stepState.Tasks {
			s.addTaskLocks(job, instance.Number, i, task)
		}
		s.markPlaceable(job.ID, instance, i)
	}
}

func (i *JobInstance) dependenciesDone(steps []int) bool {
	for _, step := range steps {
		if i.Steps[step].TasksLeft > 0 {
			return false
		}
	}
	return true
}

// maxTaskCopies is the most copies of a task that run at a time; only tasks of
// speculative steps have more than one.
const maxTaskCopies = 2

// addTaskLocks adds a task's locks, one for each copy that may run at a time. A run
// reserves the lock of its copy.
func (s *Store) addTaskLocks(job *Job, instance, step, index int) {
	copies := 1
	if job.Steps[step].Speculative {
		copies = maxTaskCopies
	}
	for number := range copies {
		id := taskLockID(TaskName(job.ID, instance, step, index), number)
		s.Devices[id] = &Device{ID: id, Class: ClassTaskLock, Healthy: true}
	}
}

// dropTaskLocks removes the locks of a task that is never to run again.
func (s *Store) dropTaskLocks(job *Job, instance, step, index int) {
	for number := range maxTaskCopies {
		delete(s.Devices, taskLockID(TaskName(job.ID, instance, step, index), number))
	}
}

func (s *Store) dropInstanceLocks(job *Job, instance *JobInstance) {
	for i := range instance.Steps {
		for task := range instance.Steps[i].Tasks {
			s.dropTaskLocks(job, instance.Number, i, task)
		}
	}
}

// completeTask notes that a task is done and stops its other copy. With the last
// task of a step the next steps become ready, or the job ends.
func (s *Store) completeTask(job *Job, instance *JobInstance, step, index int) {
	stepState := &instance.Steps[step]
	task := &stepState.Tasks[index]
	if task.Done {
		return
	}
	task.Done = true
	stepState.TasksLeft--
	s.dropTaskLocks(job, instance.Number, step, index)
	if !job.IsGang(step) {
		s.stopTaskRuns(task, "other copy done")
	}
	if stepState.TasksLeft > 0 {
		return
	}
	instance.StepsLeft--
	s.unmarkPlaceable(job.ID, instance, step)
	stepState.CompletedAt = s.Clock
	if instance.StepsLeft > 0 {
		s.readySteps(job, instance)
		return
	}
	s.endJobIfComplete(job)
}

// countFailure counts a failed run of a task or of its gang. As many as the
// route allows fail the instance and its job.
func (s *Store) countFailure(job *Job, instance *JobInstance, step, index int) {
	if job.Steps[step].LongRunning {
		return
	}
	failures := &instance.Steps[step].Tasks[index].Failures
	if job.IsGang(step) {
		failures = &instance.Steps[step].GangFailures
	}
	*failures++
	if *failures < job.MaxAttempts || instance.Failed {
		return
	}
	instance.Failed = true
	job.Failed = true
	s.stopInstance(job, instance, "job failed")
	s.endJobIfComplete(job)
}

// cancelJob ends a job and stops its runs.
func (s *Store) cancelJob(job *Job) {
	job.Canceled = true
	for _, instance := range job.Instances {
		s.stopInstance(job, instance, "called off")
	}
	s.endJob(job)
}

// stopInstance stops all runs of an instance and lets no new one start.
func (s *Store) stopInstance(job *Job, instance *JobInstance, reason string) {
	s.dropInstanceLocks(job, instance)
	for i := range instance.Steps {
		for task := range instance.Steps[i].Tasks {
			s.stopTaskRuns(&instance.Steps[i].Tasks[task], reason)
		}
	}
}

// endJobIfComplete ends a job of which no instance is open or still to come.
func (s *Store) endJobIfComplete(job *Job) {
	if job.ended() || job.hasMoreInstances() {
		return
	}
	for _, instance := range job.Instances {
		if instance.StepsLeft > 0 && !instance.Failed {
			return
		}
	}
	if !job.Failed {
		job.Done = true
	}
	s.endJob(job)
}

// endJob closes a job. EndedAt is never 0, which would mean that it is open.
func (s *Store) endJob(job *Job) {
	job.EndedAt = max(s.Clock, 1)
	s.endedJobs = append(s.endedJobs, job)
	delete(s.openJobs, job.ID)
	delete(s.periodicJobs, job.ID)
	for _, instance := range job.Instances {
		for i := range instance.Steps {
			s.unmarkPlaceable(job.ID, instance, i)
		}
	}
}
