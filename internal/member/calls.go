// Package member is how daemons know each other: the requests between them, the
// search for the leader, the founding of the core and membership leases. Types
// tagged toarray are encoded by the order of their fields, which must not change.
package member

import (
	"tealpond/internal/protocol"
	"tealpond/internal/raft"
	"tealpond/internal/tracing"
)

// Kinds of frames.
const (
	FrameRaft = byte(iota + 1)
	FrameAsk
	FrameAnswer
	FrameOrder
)

// Ask is a request from one daemon to another.
type Ask struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body []byte
}

// Codes of answers that daemons give each other, beside those of HTTP.
const (
	// NotLead: ask whom Lead names.
	NotLead = 1
	// Unclear: the leader lost its term while the command was under way.
	Unclear = 2
	// NoLeader: given by the seeker itself when none was found in time and
	// the request was surely never taken.
	NoLeader = 3
	// Lost: given by the seeker when time ran out after a request was sent.
	Lost = 4
)

// Answer is the answer to an Ask.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	Code    int
	Text    string
	N       int64
	Lead    string
	RetryMs int64
	Body    []byte
	Desired int64
	// At is the log index that the answering replica had applied: a client that
	// turns to another replica must not be told of an older state.
	At uint64
	// Home is the address of the aggregator of the client's zone, Next that of
	// its standby; empty: the leader itself.
	Home string
	Next string
}

// Kinds of requests.
const (
	AskLead    = "lead"
	AskFound   = "found"
	AskJoin    = "join"
	AskClaim   = "claim"
	AskHandIn  = "handin"
	AskStatus  = "status"
	AskCancel  = "cancel"
	AskPut     = "put"
	AskRead    = "read"
	AskTakeUp  = "takeup"
	AskRenew   = "renew"
	AskEnds    = "ends"
	AskElig    = "eligible"
	AskTrace   = "trace"
	AskFleet   = "fleet"
	AskMembers = "members"
	AskMoves   = "moves"
	AskCommand = "command"
	AskPeer    = "peer"
	AskGrants  = "grants"
	AskMany    = "many"
	AskYield   = "yield"
	// AskLimits asks for the limits of the newest configuration: N is its
	// version, Body holds them.
	AskLimits = "limits"
)

// View is the answer to AskLead.
type View struct {
	_     struct{} `cbor:",toarray"`
	Leads bool
	Term  uint64
	Lead  string
	Known []string
	// Sums tells that it aggregates the requests of side daemons.
	Sums bool
}

// Found is an announcement of a core candidate.
type Found struct {
	_     struct{} `cbor:",toarray"`
	Me    raft.Member
	Bound []raft.Member
	// Late: it was started again, or long after the system, and its disk
	// knows of no core.
	Late bool
}

// Proposal answers a Found: the voters of the first core, and whether all of them
// are bound to that set, so that they may start.
type Proposal struct {
	_   struct{} `cbor:",toarray"`
	Set []raft.Member
	Go  bool
}

// Claim is a daemon's membership lease.
type Claim struct {
	_    struct{} `cbor:",toarray"`
	Node string
	Role string
	Zone string
	Addr string
	Life string
}

// Traced is a daemon's answer to AskTrace.
type Traced struct {
	_     struct{} `cbor:",toarray"`
	Node  string
	Role  string
	Since int64
	Marks []tracing.Event
}

// Table is one table of the fleet's state.
type Table struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Cols []string
	Rows [][]any
	Cut  bool
}

// Fleet is a core daemon's answer to AskFleet.
type Fleet struct {
	_       struct{} `cbor:",toarray"`
	Node    string
	Leads   bool
	Applied uint64
	Clock   int64
	Tables  []Table
}

// Call is a client's call about a job.
type Call struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Path string
	Job  protocol.Job
}

// Put is an operator's change of the configuration.
type Put struct {
	_    struct{} `cbor:",toarray"`
	Base int64
	Raw  []byte
}

// Renew renews the lease of a worker and tells how its runs get on.
type Renew struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Fence  int64
	Ratio  int64 // its work takes so many hundredths of the estimates, 0 unknown
	// Known is the newest At that the client was told of.
	Known uint64
}

// Seat is one worker of an aggregator's set.
type Seat struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Fence  int64
}

// Ratio is the Renew.Ratio of a member of the set.
type Ratio struct {
	_     struct{} `cbor:",toarray"`
	Seat  int
	Value int64
}

// Grants renews the leases of those members of a set whose bit is set in In
// (member 0 is the lowest bit of the first byte). A set is sent whole once; 428
// says that the leader doesn't know it. Ratios are those that changed.
type Grants struct {
	_      struct{} `cbor:",toarray"`
	From   string   // disk of the aggregator
	Life   string   // its process: each process numbers its sets from 1
	Set    uint64
	Whole  []Seat
	In     []byte
	Ratios []Ratio
}

// Asks tells whether a member asks for a renewal.
func (g *Grants) Asks(seat int) bool {
	return seat>>3 < len(g.In) && g.In[seat>>3]&(1<<(seat&7)) != 0
}

// Odd is a member whose lease was not renewed, with the code of the refusal.
type Odd struct {
	_    struct{} `cbor:",toarray"`
	Seat int
	Code int
}

// Many carries several requests of side daemons; the answer's body holds theirs.
type Many struct {
	_    struct{} `cbor:",toarray"`
	Asks []Ask
}

// Yield tells that a daemon is leaving and gives up the zones it aggregates for.
type Yield struct {
	_    struct{} `cbor:",toarray"`
	Disk string
}

// Order is what the leader pushes to a side daemon.
type Order struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Fence  int64
	Stop   bool
	Task   string
	Run    int
	Spec   string
	Saved  string
	EstMs  int64 // its likely length on this worker at usual speed
	Lasts  bool
}
