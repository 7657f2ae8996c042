package state

import "tealpond/internal/protocol"

// SubmitJob takes a job.
type SubmitJob struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Path string
	ID   string
	Job  protocol.Job
	// DemandBucket of the true time, for the record of demand; 0: none is kept.
	DemandBucket int64
}

// Apply keeps the job unless its ID is known: the first one stands.
func (c *SubmitJob) Apply(s *Store) Outcome {
	if s.Jobs[c.ID] != nil {
		return Outcome{Code: CodeOK, Text: "known"}
	}
	if s.Configuration.Version == 0 {
		return Outcome{Code: CodeUnavailable, Text: "not configured"}
	}
	// Why looked up here: the desired state at this place of the log rules,
	// not the one that the taking daemon knew.
	route, _ := s.routeTable.Find(c.Host, c.Path)
	if route == nil {
		return Outcome{Code: CodeNotFound, Text: "no such queue"}
	}
	s.LastJobSequence++
	job := &Job{ID: c.ID, Sequence: s.LastJobSequence, Route: route.Name, Service: route.TargetService, Priority: route.Priority,
		MaxAttempts: max(route.MaxAttempts, 1), Stretch: route.Stretch, TargetMs: route.TargetMs, Spec: c.Job.Spec, Steps: c.Job.Steps,
		PeriodicInstances: c.Job.PeriodicInstances, FirstRunMs: c.Job.FirstRunMs, IntervalMs: c.Job.IntervalMs, CreatedAt: s.Clock}
	if c.DemandBucket > 0 {
		s.recordDemand(route.Name, c.DemandBucket, job.coreMs())
	}
	s.Jobs[job.ID] = job
	s.openJobs[job.ID] = job
	if job.PeriodicInstances > 0 {
		s.periodicJobs[job.ID] = job
		s.AdvanceClock(s.Clock, s.WallClock)
	} else {
		s.addInstance(job)
	}
	return Outcome{Code: CodeOK}
}
