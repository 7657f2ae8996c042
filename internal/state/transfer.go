package state

import "tealpond/internal/protocol"

// States of a job's move, as its source sees them.
const (
	TransferNone     = byte(iota)
	TransferOffered  // the peer may have it: nothing starts here
	TransferAccepted // the peer has it
	TransferReleased // its end is known at both
)

// JobTransfer is what a store keeps of a job that goes to or came from a peer.
type JobTransfer struct {
	_               struct{} `cbor:",toarray"`
	Peer            string
	OfferID         int64 // of the offer, by the source's log
	State           byte  // at the source
	CancelRequested bool  // the sender wants it called off
	Incoming        bool  // it came from the peer: this store is the target
	Loan            string
	OfferCount      int // how often it was offered
}

// PeerProgress is how far a peer's log was when it last said something. A peer
// that shows less has come back with an older state and isn't believed.
type PeerProgress struct {
	_     struct{} `cbor:",toarray"`
	Epoch string
	Index uint64
}

// Loan is room lent to a peer over a time range: a booking in the future.
type Loan struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Peer     string
	Service  string
	Slices   []string
	MilliCPU int64
	From     int64 // on the store clock
	To       int64
}

// SetEpoch names this store's history once and for all.
type SetEpoch struct {
	_     struct{} `cbor:",toarray"`
	Epoch string
}

// Apply keeps the first name.
func (c *SetEpoch) Apply(s *Store) Outcome {
	if s.Epoch == "" {
		s.Epoch = c.Epoch
	}
	return Outcome{Code: CodeOK}
}

// OfferJob begins to hand a job that has not begun to a peer.
type OfferJob struct {
	_    struct{} `cbor:",toarray"`
	Job  string
	Peer string
}

// Apply stops anything of it from starting here until the peer's log has
// settled who has it.
func (c *OfferJob) Apply(s *Store) Outcome {
	job := s.Jobs[c.Job]
	switch {
	case job == nil || job.ended():
		return Outcome{Code: CodeGone}
	case job.Started || job.PeriodicInstances > 0 || job.Transfer.Incoming || job.Transfer.State != TransferNone:
		return Outcome{Code: CodeConflict, Text: "it has begun or moves already"}
	}
	s.LastID++
	job.Transfer = JobTransfer{Peer: c.Peer, OfferID: int64(s.LastID), State: TransferOffered, OfferCount: job.Transfer.OfferCount + 1}
	return Outcome{Code: CodeOK, Value: job.Transfer.OfferID}
}

// SettleTransfer notes at the source what the peer's log says of an offer.
type SettleTransfer struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	OfferID int64
	Peer    string
	Epoch   string
	Index   uint64
	Answer  string // taken, refused, voided, done, failed, called_off
}

// settlements is what each word of the peer's does.
var settlements = map[string]func(*Store, *Job){
	"taken":   func(_ *Store, j *Job) { j.Transfer.State = TransferAccepted },
	"refused": func(_ *Store, j *Job) { j.Transfer.State = TransferNone },
	"voided": func(s *Store, j *Job) {
		j.Transfer.State = TransferNone
		if j.Transfer.CancelRequested {
			s.cancelJob(j)
		}
	},
	"done":       func(s *Store, j *Job) { j.Done = true; s.endJob(j) },
	"failed":     func(s *Store, j *Job) { j.Failed = true; s.endJob(j) },
	"called_off": func(s *Store, j *Job) { s.cancelJob(j) },
}

// Apply believes only a peer whose log has not gone back.
func (c *SettleTransfer) Apply(s *Store) Outcome {
	progress := s.Peers[c.Peer]
	if progress != nil && (progress.Epoch != c.Epoch || c.Index < progress.Index) {
		return Outcome{Code: CodeConflict, Text: "the peer came back with an older state"}
	}
	if s.Peers == nil {
		s.Peers = map[string]*PeerProgress{}
	}
	s.Peers[c.Peer] = &PeerProgress{Epoch: c.Epoch, Index: c.Index}
	job := s.Jobs[c.Job]
	settle := settlements[c.Answer]
	if job != nil && c.Answer == "released" && job.ended() && job.Transfer.State == TransferAccepted && job.Transfer.OfferID == c.OfferID {
		job.Transfer.State = TransferReleased
		return Outcome{Code: CodeOK}
	}
	if job == nil || settle == nil || job.ended() || job.Transfer.Incoming || job.Transfer.State == TransferNone || job.Transfer.OfferID != c.OfferID || job.Transfer.Peer != c.Peer {
		return Outcome{Code: CodeOK, Text: "no longer of interest"}
	}
	if (c.Answer == "refused" || c.Answer == "voided") && job.Transfer.State == TransferAccepted {
		return Outcome{Code: CodeConflict, Text: "the peer took it and now denies it"}
	}
	settle(s, job)
	return Outcome{Code: CodeOK}
}

func (s *Store) cancelJob(job *Job) {
	job.Canceled = true
	for _, instance := range job.Instances {
		s.dropInstanceLocks(job, instance)
		s.stopInstance(job, instance, "called off")
	}
	s.endJob(job)
}

// AcceptJob takes a peer's job over, under a loan.
type AcceptJob struct {
	_       struct{} `cbor:",toarray"`
	Peer    string
	OfferID int64
	ID      string
	Route   string
	Loan    string
	Job     protocol.Job
}

func offerKey(peer, id string) string { return peer + "/" + id }

// Apply takes it at most once; an offer that was voided never.
func (c *AcceptJob) Apply(s *Store) Outcome {
	if job := s.Jobs[c.ID]; job != nil {
		if job.Transfer.Incoming && job.Transfer.Peer == c.Peer && job.Transfer.OfferID == c.OfferID {
			return Outcome{Code: CodeOK, Text: "taken"}
		}
		// Why void too: a later copy must not be taken once that job is gone.
		s.voidOffer(c.Peer, c.ID, c.OfferID)
		return Outcome{Code: CodeConflict, Text: "refused"}
	}
	if c.OfferID <= s.VoidedOffers[offerKey(c.Peer, c.ID)] {
		return Outcome{Code: CodeConflict, Text: "refused"}
	}
	route, loan := s.Routes[c.Route], s.Loans[c.Loan]
	if route == nil || loan == nil || loan.Peer != c.Peer || s.Clock >= loan.To {
		// Why kept as void: the refusal must hold for each later copy.
		s.voidOffer(c.Peer, c.ID, c.OfferID)
		return Outcome{Code: CodeConflict, Text: "refused"}
	}
	s.LastJobSequence++
	job := &Job{ID: c.ID, Sequence: s.LastJobSequence, Route: route.Name, Service: route.TargetService, Priority: route.Priority,
		MaxAttempts: max(route.MaxAttempts, 1), Stretch: route.Stretch, TargetMs: route.TargetMs, Spec: c.Job.Spec, Steps: c.Job.Steps, CreatedAt: s.Clock,
		Transfer: JobTransfer{Peer: c.Peer, OfferID: c.OfferID, Incoming: true, Loan: c.Loan}}
	s.Jobs[job.ID], s.openJobs[job.ID] = job, job
	s.addInstance(job)
	return Outcome{Code: CodeOK, Text: "taken"}
}

func (s *Store) voidOffer(peer, id string, offerID int64) {
	if s.VoidedOffers == nil {
		s.VoidedOffers = map[string]int64{}
	}
	s.VoidedOffers[offerKey(peer, id)] = max(s.VoidedOffers[offerKey(peer, id)], offerID)
}

// VoidOffer asks the target to settle an offer: taken if it was, never if not. With
// Cancel a taken job is called off.
type VoidOffer struct {
	_       struct{} `cbor:",toarray"`
	Peer    string
	OfferID int64
	ID      string
	Cancel  bool
}

// Apply answers with what holds from now on.
func (c *VoidOffer) Apply(s *Store) Outcome {
	job := s.Jobs[c.ID]
	if job == nil || !job.Transfer.Incoming || job.Transfer.Peer != c.Peer || job.Transfer.OfferID != c.OfferID {
		s.voidOffer(c.Peer, c.ID, c.OfferID)
		return Outcome{Code: CodeOK, Text: "voided"}
	}
	if c.Cancel && !job.ended() {
		s.cancelJob(job)
	}
	return Outcome{Code: CodeOK, Text: IncomingJobStatus(job)}
}

// ReleaseJob lets the target forget a job whose end the source has committed.
type ReleaseJob struct {
	_       struct{} `cbor:",toarray"`
	Peer    string
	OfferID int64
	ID      string
}

// Apply leaves a mark that no copy of the offer gets past.
func (c *ReleaseJob) Apply(s *Store) Outcome {
	s.voidOffer(c.Peer, c.ID, c.OfferID)
	if job := s.Jobs[c.ID]; job != nil && job.Transfer.Incoming && job.Transfer.Peer == c.Peer && job.Transfer.OfferID == c.OfferID {
		job.Transfer.State = TransferReleased
	}
	return Outcome{Code: CodeOK, Text: "released"}
}

// heldForPeer tells whether a job must be kept for a peer that has not settled.
func (j *Job) heldForPeer() bool {
	if j.Transfer.Incoming {
		return j.Transfer.State != TransferReleased
	}
	return j.Transfer.State == TransferOffered || j.Transfer.State == TransferAccepted
}

// IncomingJobStatus is what a source is told of its job here.
func IncomingJobStatus(job *Job) string {
	if job.ended() {
		return job.Status()
	}
	return "taken"
}

// LendCapacity books room for a peer over a time range in the future.
type LendCapacity struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	Peer          string
	Service       string
	MilliCPU      int64 // at most
	MinMilliCPU   int64 // less than this is no loan
	DurationMs    int64 // ms
	Slices        int
	SliceMilliCPU int64 // room of one slice
}

// Apply books whole slices by the overlap refusal, so that no room is lent
// twice; too few slices mean no loan.
func (c *LendCapacity) Apply(s *Store) Outcome {
	if loan := s.Loans[c.ID]; loan != nil {
		return Outcome{Code: CodeOK, Value: loan.MilliCPU}
	}
	if c.SliceMilliCPU <= 0 || c.MilliCPU <= 0 || c.MinMilliCPU <= 0 || c.DurationMs <= 0 {
		return Outcome{Code: CodeInvalid}
	}
	loan := &Loan{ID: c.ID, Peer: c.Peer, Service: c.Service, From: s.Clock, To: s.Clock + c.DurationMs}
	s.LastID++
	reservation := s.LastID
	enough := s.savepoint(func() bool {
		for i := 0; i < c.Slices && loan.MilliCPU < c.MilliCPU; i++ {
			id := "loan/" + c.Service + "/" + itoa(i)
			if s.Devices[id] == nil {
				s.Devices[id] = &Device{ID: id, Class: ClassLoanSlice, Healthy: true}
			}
			s.dropExpiredReservations(s.Devices[id])
			if s.reserve(s.Devices[id], reservation, loan.From, loan.To) {
				loan.Slices = append(loan.Slices, id)
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

// dropExpiredReservations drops bookings of a loan slice that are over.
func (s *Store) dropExpiredReservations(device *Device) {
	kept := device.Reservations[:0]
	for _, b := range device.Reservations {
		if b.To > s.Clock {
			kept = append(kept, b)
		}
	}
	device.Reservations = kept
}

// LoanRemaining is the room that a loan still has for new runs of its peer's jobs;
// false for jobs that are no guests. After its end nothing new starts.
func (s *Store) LoanRemaining(job *Job) (int64, bool) {
	if !job.Transfer.Incoming {
		return 0, false
	}
	loan := s.Loans[job.Transfer.Loan]
	if loan == nil || s.Clock >= loan.To {
		// Why still a little: a job that was taken must end, after the
		// loan's end one task at a time.
		if s.loanUsed(job.Transfer.Loan) == 0 {
			return 1, true
		}
		return 0, true
	}
	return max(loan.MilliCPU-s.loanUsed(job.Transfer.Loan), 0), true
}

func (s *Store) loanUsed(loan string) int64 {
	sum := int64(0)
	for _, allocation := range s.Allocations {
		if job := s.Jobs[allocation.Job]; job != nil && job.Transfer.Incoming && job.Transfer.Loan == loan {
			sum += max(allocation.MilliCPU, 1)
		}
	}
	return sum
}

// Asked adds to the record of demand that forecasts rest on.
func (s *Store) recordDemand(route string, bucket int64, coreMs float64) {
	if s.Demand == nil {
		s.Demand = map[string]map[int64]float64{}
	}
	buckets := s.Demand[route]
	if buckets == nil {
		buckets = map[int64]float64{}
		s.Demand[route] = buckets
	}
	buckets[bucket] += coreMs
	for recorded := range buckets {
		if recorded < bucket-demandBuckets {
			delete(buckets, recorded)
		}
	}
}

// demandBuckets bounds the record: eight days of five minutes.
const demandBuckets = 8 * 288

// atPeer tells whether a peer has the job or may have it.
func (j *Job) atPeer() bool { return !j.Transfer.Incoming && j.Transfer.State != TransferNone }

// AtPeer is away for the placer.
func (j *Job) AtPeer() bool { return j.atPeer() }
