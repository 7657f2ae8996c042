package store

// Duty names who sums up the reports of a zone. It tells side daemons where
// to turn and how a load is spread; no rule of safety rests on it.
type Duty struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	No   uint64 // rises with each change
	Disk string // the holder; empty: side daemons turn to the leader
	Addr string
	// Next is the standby whom the holder names when it leaves.
	Next     string
	NextAddr string
}

// Appoint writes a zone's duty, on top of the number that its writer saw.
type Appoint struct {
	_    struct{} `cbor:",toarray"`
	Duty Duty
	Base uint64
}

func init() { register("appoint", func() Cmd { return &Appoint{} }) }

// Apply refuses a change made on an older view: of two only the first stands.
func (c *Appoint) Apply(s *Store) Outcome {
	old := s.Duties[c.Duty.Zone]
	if old.No != c.Base {
		return Outcome{Code: 412, N: int64(old.No)}
	}
	if s.Duties == nil {
		s.Duties = map[string]Duty{}
	}
	d := c.Duty
	d.No = old.No + 1
	s.Duties[d.Zone] = d
	return Outcome{Code: 200, N: int64(d.No)}
}
