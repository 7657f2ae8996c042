package state

// Loan is CPU of a service that is lent to a peer over the time [From, To).
type Loan struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Peer     string
	Service  string
	Slices   []string // IDs of the reserved devices
	MilliCPU int64
	From     int64
	To       int64
}

// LendCapacity lends CPU of a service to a peer. What can be lent is divided
// into slices, each a device that is reserved for one loan at a time.
type LendCapacity struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	Peer          string
	Service       string
	MilliCPU      int64 // at most
	MinMilliCPU   int64 // less than this is no loan
	DurationMs    int64 // from now
	Slices        int   // how many the service has
	SliceMilliCPU int64 // of one slice
}

// Apply reserves free slices until they add up to MilliCPU. The outcome's Value is
// the CPU that is lent; a command that is repeated has the same outcome. The outcome
// is CodeConflict, and nothing is reserved, if less than MinMilliCPU is free, and
// CodeInvalid if an amount isn't positive.
func (c *LendCapacity) Apply(s *Store) Outcome {
	if loan := s.Loans[c.ID]; loan != nil {
		return Outcome{Code: CodeOK, Value: loan.MilliCPU}
	}
	if c.SliceMilliCPU <= 0 || c.MilliCPU <= 0 || c.MinMilliCPU <= 0 || c.DurationMs <= 0 {
		return Outcome{Code: CodeInvalid}
	}
	loan := &Loan{ID: c.ID, Peer: c.Peer, Service: c.Service, From: s.Clock, To: s.Clock + c.DurationMs}
	s.LastID++
	number := s.LastID
	enough := s.savepoint(func() bool {
		for i := 0; i < c.Slices && loan.MilliCPU < c.MilliCPU; i++ {
			slice := s.loanSlice(c.Service, i)
			slice.dropExpiredReservations(s.Clock)
			if s.reserve(slice, number, loan.From, loan.To) {
				loan.Slices = append(loan.Slices, slice.ID)
				loan.MilliCPU += c.SliceMilliCPU
			}
		}
		return loan.MilliCPU >= c.MinMilliCPU
	})
	if !enough {
		return Outcome{Code: CodeConflict, Text: "full"}
	}
	if s.Loans == nil {
		s.Loans = map[string]*Loan{}
	}
	s.Loans[c.ID] = loan
	return Outcome{Code: CodeOK, Value: loan.MilliCPU}
}

// loanSlice returns a slice of a service's CPU and creates it if there is none.
func (s *Store) loanSlice(service string, number int) *Device {
	id := loanSliceID(service, number)
	if s.Devices[id] == nil {
		s.Devices[id] = &Device{ID: id, Class: ClassLoanSlice, Healthy: true}
	}
	return s.Devices[id]
}

// LoanRemaining is the CPU that a loan still has for new runs of an incoming
// job; false for any other job. After the loan's end its jobs continue with one run
// at a time, so that they finish.
func (s *Store) LoanRemaining(job *Job) (int64, bool) {
	if !job.Transfer.Incoming {
		return 0, false
	}
	used := s.loanUsed(job.Transfer.Loan)
	loan := s.Loans[job.Transfer.Loan]
	switch {
	case loan != nil && s.Clock < loan.To:
		return max(loan.MilliCPU-used, 0), true
	case used == 0:
		return 1, true
	}
	return 0, true
}

// loanExhausted reports whether an incoming job's loan has no CPU left for a run. A
// run that needs more than the whole loan may start alone.
func (s *Store) loanExhausted(job *Job, milliCPU int64) bool {
	left, ok := s.LoanRemaining(job)
	return ok && (left <= 0 || left < milliCPU && s.loanUsed(job.Transfer.Loan) > 0)
}

// loanUsed is the CPU of all runs under a loan. A run that needs none counts as a
// thousandth of a core, so that the number of runs is bounded.
func (s *Store) loanUsed(loan string) int64 {
	used := int64(0)
	for _, allocation := range s.Allocations {
		if job := s.Jobs[allocation.Job]; job != nil && job.Transfer.Incoming && job.Transfer.Loan == loan {
			used += max(allocation.MilliCPU, 1)
		}
	}
	return used
}
