package store

import (
	"github.com/fxamacker/cbor/v2"
)

// Outcome is the value that a command leaves for its caller.
type Outcome struct {
	_    struct{} `cbor:",toarray"`
	Code int
	Text string
	N    int64
}

// Cmd is a command: the only thing that changes the state.
type Cmd interface {
	Apply(s *Store) Outcome
}

// Raw is a command as it stands in the log.
type Raw struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body []byte
}

// Batch is what one entry of the log holds.
type Batch struct {
	_     struct{} `cbor:",toarray"`
	Clock int64
	Wall  int64
	Cmds  []Raw
}

var kinds = map[string]func() Cmd{}
var names = map[string]string{}

func register(kind string, f func() Cmd) { kinds[kind] = f }

// Encode makes a command's line in the log.
func Encode(kind string, c Cmd) Raw {
	if kinds[kind] == nil {
		panic("store: unknown command " + kind)
	}
	raw, err := cbor.Marshal(c)
	if err != nil {
		panic("store: " + err.Error())
	}
	return Raw{Kind: kind, Body: raw}
}

// Run applies one entry of the log and gives the outcomes in order.
func (s *Store) Run(data []byte) []Outcome {
	var b Batch
	if err := cbor.Unmarshal(data, &b); err != nil {
		panic("store: unreadable entry: " + err.Error())
	}
	s.Advance(b.Clock, b.Wall)
	out := make([]Outcome, len(b.Cmds))
	for i, r := range b.Cmds {
		f := kinds[r.Kind]
		if f == nil {
			panic("store: unknown command in the log: " + r.Kind)
		}
		c := f()
		if err := cbor.Unmarshal(r.Body, c); err != nil {
			panic("store: unreadable command " + r.Kind + ": " + err.Error())
		}
		out[i] = c.Apply(s)
	}
	return out
}

// Save encodes the whole state.
func (s *Store) Save() []byte {
	raw, err := cbor.Marshal(s)
	if err != nil {
		panic("store: " + err.Error())
	}
	return raw
}

// Load reads a state that Save wrote.
func Load(raw []byte, l Limits) (*Store, error) {
	s := New(l)
	if len(raw) == 0 {
		return s, nil
	}
	if err := s.decode(raw); err != nil {
		return nil, err
	}
	return s, nil
}
