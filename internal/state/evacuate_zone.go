package state

// ZoneEvacuation says whether a zone's workers get new work.
type ZoneEvacuation struct {
	_         struct{} `cbor:",toarray"`
	Revision  int64    // rises with each order about the zone
	Evacuated bool
	ChangedAt int64 // on the state's clock, in ms
}

// EvacuateZone has a zone's workers get no new work, or takes that back, if no other order
// about the zone has come since BaseRevision.
type EvacuateZone struct {
	_            struct{} `cbor:",toarray"`
	Zone         string
	Evacuated    bool
	BaseRevision int64
}

// Apply writes the zone's row; the outcome's Value is its revision. An order raises it also
// where it changes nothing else, so that a copy of an earlier order that comes late is
// refused with CodePreconditionFailed. What runs in the zone goes on; placements there that
// were planned before are refused, since the workers' versions rise.
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

// reindexZone takes over the evacuation of a zone, or its end, to the rows of its workers.
// Agents are notified again of the runs there: those that have not started must not start late.
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

// IsEvacuated reports whether a zone's workers get no new work, and since when, on the state's
// clock.
func (s *Store) IsEvacuated(zone string) (since int64, evacuated bool) {
	evacuation := s.Evacuations[zone]
	return evacuation.ChangedAt, evacuation.Evacuated
}
