package move

import (
	"crypto/hmac"
	"crypto/sha256"

	"tealpond/internal/protocol"
	"tealpond/internal/transport"
)

// Kinds of calls between clusters.
const (
	CallLoan    = "loan"
	CallOffer   = "offer"
	CallVoid    = "void"
	CallRelease = "release"
)

// Call goes from the leader of one cluster to that of another. All may be
// repeated without harm.
type Call struct {
	_      struct{} `cbor:",toarray"`
	From   string
	To     string
	Kind   string
	Job    string
	No     int64
	Lane   string
	Loan   string
	CPU    int64
	ForMs  int64
	Cancel bool
	Body   protocol.Job
}

// Said is the answer: a word, and how far the log that says it was.
type Said struct {
	_     struct{} `cbor:",toarray"`
	Word  string
	Epoch string
	Index uint64
	N     int64
}

// signed is a call with the proof that a peer made it.
type signed struct {
	_    struct{} `cbor:",toarray"`
	From string
	Body []byte
	Sum  []byte
}

func sum(key string, body []byte) []byte {
	m := hmac.New(sha256.New, []byte(key))
	m.Write(body)
	return m.Sum(nil)
}

// Sign packs a call.
func Sign(key string, c Call) []byte {
	raw := transport.Encode(c)
	return transport.Encode(signed{From: c.From, Body: raw, Sum: sum(key, raw)})
}

// Open checks who made a call; why it was refused otherwise.
func (s *Setting) Open(raw []byte) (Call, string) {
	var x signed
	var c Call
	if transport.Decode(raw, &x) != nil {
		return c, "unreadable"
	}
	p := s.peer(x.From)
	if p == nil {
		return c, "unknown peer " + x.From
	}
	if !hmac.Equal(sum(p.Key, x.Body), x.Sum) {
		return c, "forged in the name of " + x.From
	}
	if transport.Decode(x.Body, &c) != nil || c.From != x.From || c.To != s.Name {
		return c, "not meant for us"
	}
	return c, ""
}

// Work is what a mover is to do next, as its leader's store shows it.
type Work struct {
	_     struct{} `cbor:",toarray"`
	Leads bool
	Epoch string
	Index uint64
	Wall  int64
	// Open are moves that the peer must settle.
	Open []Open
	// Free are jobs that may move: of routes that may, not begun.
	Free []Candidate
	// Demand of the service's routes in core-ms by bucket, and its room.
	Demand map[int64]float64
	Room   int64
}

// Open is a move under way.
type Open struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Peer   string
	No     int64
	State  byte
	Cancel bool
	Over   bool // its end is committed here, and the peer may forget it
	Lane   string
	Loan   string
	Body   protocol.Job
}

// Candidate is a job that may move.
type Candidate struct {
	_        struct{} `cbor:",toarray"`
	Job      string
	Lane     string
	Priority int
	CPU      int64
	Rounds   int
}
