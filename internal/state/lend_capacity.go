package state

// Loan is CPU of a service that is lent to a peer during the interval [From, To).
type Loan struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Peer     string
	Service  string
	Slices   []string // IDs of the reserved loan slices
	MilliCPU int64
	From     int64
	To       int64
}

// LendCapacity lends CPU of a service to a peer. The CPU that can be lent is divided
// into slices. Each slice is a device that is reserved for one loan at a time.
type LendCapacity struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	Peer          string
	Service       string
	MilliCPU      int64 // requested CPU; no more slices are added once it is reached
	MinMilliCPU   int64 // nothing is lent if less than this is free
	DurationMs    int64 // from when the command is applied
	Slices        int   // number of slices of the service
	SliceMilliCPU int64 // size of one slice
}

// Apply reserves free slices until they add up to at least MilliCPU. The outcome's Value
// is the CPU that is lent; a repeated command returns that of the existing loan. The
// outcome is CodeConflict, and nothing is reserved, if less than MinMilliCPU is free. It is
// CodeInvalid if an amount or the duration is not positive.
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

// loanSlice returns the loan slice of a service with the given number. It creates the slice if
// it does not exist.
func (s *Store) loanSlice(service string, number int) *Device {
	id := loanSliceID(service, number)
	if s.Devices[id] == nil {
		s.Devices[id] = &Device{ID: id, Class: ClassLoanSlice, Healthy: true}
	}
	return s.Devices[id]
}

// LoanRemaining returns the CPU that is left of an incoming job's loan for new runs; false
// for any other job. After the loan has ended, its jobs continue with one run at a time, so
// that they finish.
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

// loanExhausted reports whether an incoming job's loan has too little CPU left for a run. A
// run that needs more than the whole loan may start while no other run uses the loan.
func (s *Store) loanExhausted(job *Job, milliCPU int64) bool {
	remaining, ok := s.LoanRemaining(job)
	return ok && (remaining <= 0 || remaining < milliCPU && s.loanUsed(job.Transfer.Loan) > 0)
}

// loanUsed returns the CPU of all runs under a loan. A run that requests no CPU counts as one
// millicore, so that the number of runs is bounded.
func (s *Store) loanUsed(loan string) int64 {
	used := int64(0)
	for _, allocation := range s.Allocations {
		if job := s.Jobs[allocation.Job]; job != nil && job.Transfer.Incoming && job.Transfer.Loan == loan {
			used += max(allocation.MilliCPU, 1)
		}
	}
	return used
}
