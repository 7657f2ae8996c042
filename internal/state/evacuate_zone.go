package state

// ZoneEvacuation records whether a zone is evacuated: its workers get no new work then.
type ZoneEvacuation struct {
	_         struct{} `cbor:",toarray"`
	Revision  int64    // increases with each EvacuateZone command for the zone
	Evacuated bool
	ChangedAt int64 // on the state clock, in ms
}

// EvacuateZone begins or ends the evacuation of a zone, if the revision of the zone's row is
// still BaseRevision.
type EvacuateZone struct {
	_            struct{} `cbor:",toarray"`
	Zone         string
	Evacuated    bool
	BaseRevision int64
}

// Apply writes the zone's row; the outcome's Value is its revision. The revision increases
// even if nothing else changes, so that a delayed duplicate of an earlier command is refused
// with CodePreconditionFailed. Tasks that run in the zone continue. Placements there that
// were planned before are refused, since the versions of the workers increase.
func (c *EvacuateZone) Apply(s *Store) Outcome {
	current := s.Evacuations[c.Zone]
	if current.Revision != c.BaseRevision {
		return Outcome{Code: CodePreconditionFailed, Value: current.Revision}
	}
	if s.Evacuations == nil {
		s.Evacuations = map[string]ZoneEvacuation{}
	}
	next := ZoneEvacuation{Revision: current.Revision + 1, Evacuated: c.Evacuated, ChangedAt: current.ChangedAt}
	if next.Evacuated != current.Evacuated {
		next.ChangedAt = s.Clock
	}
	s.Evacuations[c.Zone] = next
	if next.Evacuated != current.Evacuated {
		s.reindexZone(c.Zone)
	}
	return Outcome{Code: CodeOK, Value: next.Revision}
}

// reindexZone updates the workers of a zone after its evacuation has begun or ended. When it
// has begun, agents are notified again of the runs there: those that have not started must
// not start later.
func (s *Store) reindexZone(zone string) {
	for _, worker := range s.Workers {
		if worker.Zone != zone || worker.Dead {
			continue
		}
		worker.Version++
		s.reindexWorker(worker)
		if !worker.evacuated {
			continue
		}
		for id := range s.allocationsByWorker[worker.ID] {
			s.changedRuns = append(s.changedRuns, id)
		}
	}
}

// IsEvacuated reports whether a zone is evacuated, and since when on the state clock. For a
// zone that is not, since is the end of its last evacuation, or 0.
func (s *Store) IsEvacuated(zone string) (since int64, evacuated bool) {
	evacuation := s.Evacuations[zone]
	return evacuation.ChangedAt, evacuation.Evacuated
}
