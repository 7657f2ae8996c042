package state

// ZoneAggregator names the daemon that batches the requests of a zone's agents.
// Agents connect to it, so that the load is spread; safety doesn't depend on it.
type ZoneAggregator struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Revision uint64 // rises with each change
	Member   string // the appointed member's ID; empty: agents connect to the leader
	Address  string
	// Standby is the member that the appointed one names when it leaves.
	Standby        string
	StandbyAddress string
}

// AppointAggregator changes a zone's aggregator if its revision is still
// BaseRevision.
type AppointAggregator struct {
	_            struct{} `cbor:",toarray"`
	Aggregator   ZoneAggregator
	BaseRevision uint64
}

// Apply makes the change; the outcome's Value is its revision. Of two changes based
// on the same revision only the first is made: for the other the outcome is
// CodePreconditionFailed, with the present revision as its Value.
func (c *AppointAggregator) Apply(s *Store) Outcome {
	current := s.Aggregators[c.Aggregator.Zone]
	if current.Revision != c.BaseRevision {
		return Outcome{Code: CodePreconditionFailed, Value: int64(current.Revision)}
	}
	if s.Aggregators == nil {
		s.Aggregators = map[string]ZoneAggregator{}
	}
	aggregator := c.Aggregator
	aggregator.Revision = current.Revision + 1
	s.Aggregators[aggregator.Zone] = aggregator
	return Outcome{Code: CodeOK, Value: int64(aggregator.Revision)}
}
