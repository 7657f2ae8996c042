package state

// ZoneAggregator names who sums up the reports of a zone. It tells side daemons where
// to turn and how a load is spread; no rule of safety rests on it.
type ZoneAggregator struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Revision uint64 // rises with each change
	Member   string // the holder; empty: side daemons turn to the leader
	Address  string
	// Standby is the standby whom the holder names when it leaves.
	Standby        string
	StandbyAddress string
}

// AppointAggregator writes a zone's duty, on top of the number that its writer saw.
type AppointAggregator struct {
	_            struct{} `cbor:",toarray"`
	Aggregator   ZoneAggregator
	BaseRevision uint64
}

// Apply refuses a change made on an older view: of two only the first stands.
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
