package store

import "tealpond/internal/protocol"

// States of a job's move, as its source sees them.
const (
	MoveNone     = byte(iota)
	MoveOffered  // the peer may have it: nothing starts here
	MoveTaken    // the peer has it
	MoveReleased // its end is known at both
)

// Move is what a store keeps of a job that goes to or came from a peer.
type Move struct {
	_      struct{} `cbor:",toarray"`
	Peer   string
	No     int64 // of the offer, by the source's log
	State  byte  // at the source
	Cancel bool  // the sender wants it called off
	Guest  bool  // it came from the peer: this store is the target
	Loan   string
	Rounds int // how often it was offered
}

// PeerSeen is how far a peer's log was when it last said something. A peer
// that shows less has come back with an older state and isn't believed.
type PeerSeen struct {
	_     struct{} `cbor:",toarray"`
	Epoch string
	Index uint64
}

// Loan is room lent to a peer over a time range: a booking in the future.
type Loan struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Peer    string
	Service string
	Slices  []string
	CPU     int64
	From    int64 // on the store clock
	To      int64
}

func init() {
	register("mint", func() Cmd { return &Mint{} })
	register("offer", func() Cmd { return &Offer{} })
	register("settle", func() Cmd { return &SettleMove{} })
	register("accept", func() Cmd { return &Accept{} })
	register("void", func() Cmd { return &Void{} })
	register("release", func() Cmd { return &Release{} })
	register("lend", func() Cmd { return &Lend{} })
}

// Mint names this store's history once and for all.
type Mint struct {
	_     struct{} `cbor:",toarray"`
	Epoch string
}

// Apply keeps the first name.
func (c *Mint) Apply(s *Store) Outcome {
	if s.Epoch == "" {
		s.Epoch = c.Epoch
	}
	return Outcome{Code: 200}
}

// Offer begins to hand a job that has not begun to a peer.
type Offer struct {
	_    struct{} `cbor:",toarray"`
	Job  string
	Peer string
}

// Apply stops anything of it from starting here until the peer's log has
// settled who has it.
func (c *Offer) Apply(s *Store) Outcome {
	j := s.Jobs[c.Job]
	switch {
	case j == nil || j.ended():
		return Outcome{Code: 410}
	case j.Began || j.RunTimes > 0 || j.Move.Guest || j.Move.State != MoveNone:
		return Outcome{Code: 409, Text: "it has begun or moves already"}
	}
	s.Last++
	j.Move = Move{Peer: c.Peer, No: int64(s.Last), State: MoveOffered, Rounds: j.Move.Rounds + 1}
	return Outcome{Code: 200, N: j.Move.No}
}

// SettleMove notes at the source what the peer's log says of an offer.
type SettleMove struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	No    int64
	Peer  string
	Epoch string
	Index uint64
	What  string // taken, refused, voided, done, failed, called_off
}

// settles is what each word of the peer's does.
var settles = map[string]func(*Store, *Job){
	"taken":   func(_ *Store, j *Job) { j.Move.State = MoveTaken },
	"refused": func(_ *Store, j *Job) { j.Move.State = MoveNone },
	"voided": func(s *Store, j *Job) {
		j.Move.State = MoveNone
		if j.Move.Cancel {
			s.callOff(j)
		}
	},
	"done":       func(s *Store, j *Job) { j.Done = true; s.over(j) },
	"failed":     func(s *Store, j *Job) { j.Failed = true; s.over(j) },
	"called_off": func(s *Store, j *Job) { s.callOff(j) },
}

// Apply believes only a peer whose log has not gone back.
func (c *SettleMove) Apply(s *Store) Outcome {
	p := s.Peers[c.Peer]
	if p != nil && (p.Epoch != c.Epoch || c.Index < p.Index) {
		return Outcome{Code: 409, Text: "the peer came back with an older state"}
	}
	if s.Peers == nil {
		s.Peers = map[string]*PeerSeen{}
	}
	s.Peers[c.Peer] = &PeerSeen{Epoch: c.Epoch, Index: c.Index}
	j := s.Jobs[c.Job]
	f := settles[c.What]
	if j != nil && c.What == "released" && j.ended() && j.Move.State == MoveTaken && j.Move.No == c.No {
		j.Move.State = MoveReleased
		return Outcome{Code: 200}
	}
	if j == nil || f == nil || j.ended() || j.Move.Guest || j.Move.State == MoveNone || j.Move.No != c.No || j.Move.Peer != c.Peer {
		return Outcome{Code: 200, Text: "no longer of interest"}
	}
	if (c.What == "refused" || c.What == "voided") && j.Move.State == MoveTaken {
		return Outcome{Code: 409, Text: "the peer took it and now denies it"}
	}
	f(s, j)
	return Outcome{Code: 200}
}

func (s *Store) callOff(j *Job) {
	j.Off = true
	for _, in := range j.Insts {
		s.dropInst(j, in)
		s.haltInst(j, in, "called off")
	}
	s.over(j)
}

// Accept takes a peer's job over, under a loan.
type Accept struct {
	_    struct{} `cbor:",toarray"`
	Peer string
	No   int64
	ID   string
	Lane string
	Loan string
	Job  protocol.Job
}

func voidKey(peer, id string) string { return peer + "/" + id }

// Apply takes it at most once; an offer that was voided never.
func (c *Accept) Apply(s *Store) Outcome {
	if j := s.Jobs[c.ID]; j != nil {
		if j.Move.Guest && j.Move.Peer == c.Peer && j.Move.No == c.No {
			return Outcome{Code: 200, Text: "taken"}
		}
		// Why void too: a later copy must not be taken once that job is gone.
		s.void(c.Peer, c.ID, c.No)
		return Outcome{Code: 409, Text: "refused"}
	}
	if c.No <= s.Voids[voidKey(c.Peer, c.ID)] {
		return Outcome{Code: 409, Text: "refused"}
	}
	lane, loan := s.Lanes[c.Lane], s.Loans[c.Loan]
	if lane == nil || loan == nil || loan.Peer != c.Peer || s.Clock >= loan.To {
		// Why kept as void: the refusal must hold for each later copy.
		s.void(c.Peer, c.ID, c.No)
		return Outcome{Code: 409, Text: "refused"}
	}
	s.LastSeq++
	j := &Job{ID: c.ID, Seq: s.LastSeq, Lane: lane.Name, Service: lane.TargetService, Priority: lane.Priority,
		MaxRounds: max(lane.MaxAttempts, 1), Stretch: lane.Stretch, TargetMs: lane.TargetMs, Spec: c.Job.Spec, Steps: c.Job.Steps, Born: s.Clock,
		Move: Move{Peer: c.Peer, No: c.No, Guest: true, Loan: c.Loan}}
	s.Jobs[j.ID], s.open[j.ID] = j, j
	s.addInst(j)
	return Outcome{Code: 200, Text: "taken"}
}

func (s *Store) void(peer, id string, no int64) {
	if s.Voids == nil {
		s.Voids = map[string]int64{}
	}
	s.Voids[voidKey(peer, id)] = max(s.Voids[voidKey(peer, id)], no)
}

// Void asks the target to settle an offer: taken if it was, never if not. With
// Cancel a taken job is called off.
type Void struct {
	_      struct{} `cbor:",toarray"`
	Peer   string
	No     int64
	ID     string
	Cancel bool
}

// Apply answers with what holds from now on.
func (c *Void) Apply(s *Store) Outcome {
	j := s.Jobs[c.ID]
	if j == nil || !j.Move.Guest || j.Move.Peer != c.Peer || j.Move.No != c.No {
		s.void(c.Peer, c.ID, c.No)
		return Outcome{Code: 200, Text: "voided"}
	}
	if c.Cancel && !j.ended() {
		s.callOff(j)
	}
	return Outcome{Code: 200, Text: GuestWord(j)}
}

// Release lets the target forget a job whose end the source has committed.
type Release struct {
	_    struct{} `cbor:",toarray"`
	Peer string
	No   int64
	ID   string
}

// Apply leaves a mark that no copy of the offer gets past.
func (c *Release) Apply(s *Store) Outcome {
	s.void(c.Peer, c.ID, c.No)
	if j := s.Jobs[c.ID]; j != nil && j.Move.Guest && j.Move.Peer == c.Peer && j.Move.No == c.No {
		j.Move.State = MoveReleased
	}
	return Outcome{Code: 200, Text: "released"}
}

// held tells whether a job must be kept for a peer that has not settled.
func (j *Job) held() bool {
	if j.Move.Guest {
		return j.Move.State != MoveReleased
	}
	return j.Move.State == MoveOffered || j.Move.State == MoveTaken
}

// GuestWord is what a source is told of its job here.
func GuestWord(j *Job) string {
	if j.ended() {
		return j.Word()
	}
	return "taken"
}

// Lend books room for a peer over a time range in the future.
type Lend struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Peer    string
	Service string
	CPU     int64 // at most
	Least   int64 // less than this is no loan
	For     int64 // ms
	Slices  int
	Slice   int64 // room of one slice
}

// Apply books whole slices by the overlap refusal, so that no room is lent
// twice; too few slices mean no loan.
func (c *Lend) Apply(s *Store) Outcome {
	if l := s.Loans[c.ID]; l != nil {
		return Outcome{Code: 200, N: l.CPU}
	}
	if c.Slice <= 0 || c.CPU <= 0 || c.Least <= 0 || c.For <= 0 {
		return Outcome{Code: 400}
	}
	l := &Loan{ID: c.ID, Peer: c.Peer, Service: c.Service, From: s.Clock, To: s.Clock + c.For}
	s.Last++
	id := s.Last
	ok := s.savepoint(func() bool {
		for i := 0; i < c.Slices && l.CPU < c.CPU; i++ {
			d := "loan/" + c.Service + "/" + itoa(i)
			if s.Devices[d] == nil {
				s.Devices[d] = &Device{ID: d, Class: ClassLoan, Healthy: true}
			}
			s.expire(s.Devices[d])
			if s.book(s.Devices[d], id, l.From, l.To) {
				l.Slices = append(l.Slices, d)
				l.CPU += c.Slice
			}
		}
		return l.CPU >= c.Least
	})
	if !ok {
		return Outcome{Code: 409, Text: "full"}
	}
	if s.Loans == nil {
		s.Loans = map[string]*Loan{}
	}
	s.Loans[c.ID] = l
	return Outcome{Code: 200, N: l.CPU}
}

// expire drops bookings of a loan slice that are over.
func (s *Store) expire(d *Device) {
	keep := d.Books[:0]
	for _, b := range d.Books {
		if b.To > s.Clock {
			keep = append(keep, b)
		}
	}
	d.Books = keep
}

// GuestRoom is the room that a loan still has for new runs of its peer's jobs;
// false for jobs that are no guests. After its end nothing new starts.
func (s *Store) GuestRoom(j *Job) (int64, bool) {
	if !j.Move.Guest {
		return 0, false
	}
	l := s.Loans[j.Move.Loan]
	if l == nil || s.Clock >= l.To {
		// Why still a little: a job that was taken must end, after the
		// loan's end one task at a time.
		if s.guestHeld(j.Move.Loan) == 0 {
			return 1, true
		}
		return 0, true
	}
	return max(l.CPU-s.guestHeld(j.Move.Loan), 0), true
}

func (s *Store) guestHeld(loan string) int64 {
	sum := int64(0)
	for _, a := range s.Allocs {
		if j := s.Jobs[a.Job]; j != nil && j.Move.Guest && j.Move.Loan == loan {
			sum += max(a.CPU, 1)
		}
	}
	return sum
}

// Asked adds to the record of demand that forecasts rest on.
func (s *Store) asked(lane string, bucket int64, work float64) {
	if s.Demand == nil {
		s.Demand = map[string]map[int64]float64{}
	}
	m := s.Demand[lane]
	if m == nil {
		m = map[int64]float64{}
		s.Demand[lane] = m
	}
	m[bucket] += work
	for b := range m {
		if b < bucket-keepBuckets {
			delete(m, b)
		}
	}
}

// keepBuckets bounds the record: eight days of five minutes.
const keepBuckets = 8 * 288

// away tells whether a peer has the job or may have it.
func (j *Job) away() bool { return !j.Move.Guest && j.Move.State != MoveNone }

// Away is away for the placer.
func (j *Job) Away() bool { return j.away() }
