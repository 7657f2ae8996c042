package state

import (
	"math"

	"tealpond/internal/protocol"
)

// SubmitJob accepts a client's job.
type SubmitJob struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Path string
	ID   string
	Job  protocol.Job
	// DemandBucket is the wall-clock bucket of the demand history to which the job's work is
	// added; 0 if it is not recorded.
	DemandBucket int64
}

// Apply accepts the job unless its ID is already known: the first job is then kept, and the
// outcome is also CodeOK. The route is looked up here and not by the daemon that received
// the request, since the configuration that is in force at this entry decides. The outcome
// is CodeUnavailable before the first configuration, CodeNotFound if no route matches, and
// CodeConflict if the configuration that is in force at this entry requires a key.
func (c *SubmitJob) Apply(s *Store) Outcome { return c.accept(s, JobTenant{}) }

// accept accepts the job for a tenant. The zero JobTenant represents a caller without a key.
func (c *SubmitJob) accept(s *Store, tenant JobTenant) Outcome {
	if s.Jobs[c.ID] != nil {
		return Outcome{Code: CodeOK, Text: "known"}
	}
	if s.Configuration.Version == 0 {
		return Outcome{Code: CodeUnavailable, Text: "not configured"}
	}
	route, _ := s.routeTable.Find(c.Host, c.Path)
	if route == nil {
		return Outcome{Code: CodeNotFound, Text: "no such queue"}
	}
	if tenant.Tenant == "" && !route.Public && len(s.Configuration.Tenants()) > 0 {
		return Outcome{Code: CodeConflict, Text: textConfigurationChanged}
	}
	job := s.newJob(c.ID, route, c.Job)
	s.setTenant(job, tenant)
	job.PeriodicInstances, job.FirstRunMs, job.IntervalMs = c.Job.PeriodicInstances, c.Job.FirstRunMs, c.Job.IntervalMs
	if c.DemandBucket > 0 {
		s.recordDemand(job.Route, c.DemandBucket, job.coreMs())
	}
	s.Jobs[job.ID], s.openJobs[job.ID] = job, job
	s.jobBytes += job.bytes()
	if job.PeriodicInstances > 0 {
		s.periodicJobs[job.ID] = job
		if job.isDue(s.WallClock) {
			s.addDueInstancesOf(job, math.MaxInt) // the leader has estimated their memory
		}
	} else {
		s.addInstance(job)
	}
	return Outcome{Code: CodeOK}
}
