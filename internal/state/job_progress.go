package state

// addInstance creates the next instance of a job and marks its first steps as ready.
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
	s.jobBytes -= job.bytes()
	job.Instances = append(job.Instances, instance)
	job.NextInstance++
	s.jobBytes += job.bytes()
	s.markReadySteps(job, instance)
}

// markReadySteps marks the steps as ready whose dependencies are done. It creates the
// locks of their tasks, which can then be placed.
func (s *Store) markReadySteps(job *Job, instance *JobInstance) {
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

// maxTaskCopies is the maximum number of copies of a task that run at the same time. Only
// tasks of speculative steps have more than one.
const maxTaskCopies = 2

// addTaskLocks creates a task's locks, one for each copy that may run at the same time. A
// run reserves the lock of its copy.
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

// removeTaskLocks removes the locks of a task that will not run again.
func (s *Store) removeTaskLocks(job *Job, instance, step, index int) {
	for number := range maxTaskCopies {
		delete(s.Devices, taskLockID(TaskName(job.ID, instance, step, index), number))
	}
}

// removeInstanceLocks removes the locks of all tasks of an instance.
func (s *Store) removeInstanceLocks(job *Job, instance *JobInstance) {
	for i := range instance.Steps {
		for task := range instance.Steps[i].Tasks {
			s.removeTaskLocks(job, instance.Number, i, task)
		}
	}
}

// completeTask marks a task as done and stops its other copy. When the last task of a
// step is done, dependent steps become ready, or the job ends if no step is left.
func (s *Store) completeTask(job *Job, instance *JobInstance, step, index int) {
	stepState := &instance.Steps[step]
	task := &stepState.Tasks[index]
	if task.Done {
		return
	}
	task.Done = true
	stepState.TasksLeft--
	s.removeTaskLocks(job, instance.Number, step, index)
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
		s.markReadySteps(job, instance)
		return
	}
	s.endJobIfComplete(job)
}

// countFailure counts a failed run of a task or of its gang. When the count reaches
// Job.MaxAttempts, the instance and its job fail. Long-running tasks are retried without
// limit.
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

// cancelJob marks a job as canceled, stops its runs and ends it.
func (s *Store) cancelJob(job *Job) {
	job.Canceled = true
	for _, instance := range job.Instances {
		s.stopInstance(job, instance, "called off")
	}
	s.endJob(job)
}

// stopInstance stops all runs of an instance. It removes the task locks, so that no new run
// can be allocated.
func (s *Store) stopInstance(job *Job, instance *JobInstance, reason string) {
	s.removeInstanceLocks(job, instance)
	for i := range instance.Steps {
		for task := range instance.Steps[i].Tasks {
			s.stopTaskRuns(&instance.Steps[i].Tasks[task], reason)
		}
	}
}

// endJobIfComplete ends a job that has no unfinished instance and none left to create.
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

// endJob records a job's end and removes it from the indexes of open jobs. EndedAt is set to
// at least 1, since 0 means that the job is open.
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
