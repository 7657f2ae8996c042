package state

// ZoneAggregator is the daemon that batches the requests of a zone's agents. Agents
// connect to it to spread the load; safety does not depend on it.
type ZoneAggregator struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Revision uint64 // increases with each change
	Member   string // ID of the appointed member; empty: agents connect to the leader
	Address  string
	// Standby is the member that the aggregator names as its successor when it leaves.
	Standby        string
	StandbyAddress string
}

// AppointAggregator sets a zone's aggregator if the revision of its row is still
// BaseRevision.
type AppointAggregator struct {
	_            struct{} `cbor:",toarray"`
	Aggregator   ZoneAggregator
	BaseRevision uint64
}

// Apply sets the aggregator; the outcome's Value is the new revision. Of two commands
// with the same BaseRevision only the first takes effect. The other is refused with
// CodePreconditionFailed, and its Value is the current revision.
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
