package store

import "tealpond/internal/protocol"

// HandIn takes a job.
type HandIn struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Path string
	ID   string
	Job  protocol.Job
	// Bucket of the true time, for the record of demand; 0: none is kept.
	Bucket int64
}

func init() { register("handin", func() Cmd { return &HandIn{} }) }

// Apply keeps the job unless its ID is known: the first one stands.
func (c *HandIn) Apply(s *Store) Outcome {
	if s.Jobs[c.ID] != nil {
		return Outcome{Code: 200, Text: "known"}
	}
	if s.Desired.Version == 0 {
		return Outcome{Code: 503, Text: "not configured"}
	}
	// Why looked up here: the desired state at this place of the log rules,
	// not the one that the taking daemon knew.
	lane, _ := s.table.Find(c.Host, c.Path)
	if lane == nil {
		return Outcome{Code: 404, Text: "no such queue"}
	}
	s.LastSeq++
	j := &Job{ID: c.ID, Seq: s.LastSeq, Lane: lane.Name, Service: lane.TargetService, Priority: lane.Priority,
		MaxRounds: max(lane.MaxAttempts, 1), Stretch: lane.Stretch, TargetMs: lane.TargetMs, Spec: c.Job.Spec, Steps: c.Job.Steps,
		RunTimes: c.Job.PeriodicInstances, FirstRunMs: c.Job.FirstRunMs, IntervalMs: c.Job.IntervalMs, Born: s.Clock}
	if c.Bucket > 0 {
		s.asked(lane.Name, c.Bucket, j.work())
	}
	s.Jobs[j.ID] = j
	s.open[j.ID] = j
	if j.RunTimes > 0 {
		s.timed[j.ID] = j
		s.Advance(s.Clock, s.Wall)
	} else {
		s.addInst(j)
	}
	return Outcome{Code: 200}
}
