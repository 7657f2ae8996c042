package store

import (
	"fmt"

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

// Form is the version of the state: of its tables, its commands and what they
// do. It is raised with any change of these, so that replicas of two versions
// aren't compared.
const Form = 3

var kinds = map[string]func() Cmd{}

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

// StartAt binds a state to the index of the snapshot that it came from. One
// that holds no index yet (a new one, or one saved before indexes were kept)
// takes it; any other must agree with its own.
func (s *Store) StartAt(index uint64) error {
	if s.Applied == 0 {
		s.Applied = index
	}
	if s.Applied != index {
		return fmt.Errorf("store: the state follows entry %d, its snapshot %d", s.Applied, index)
	}
	return nil
}

// Skip passes an entry of the log that holds no commands.
func (s *Store) Skip(index uint64) {
	s.follow(index)
	s.link(nil, nil)
}

// follow moves the state on to an entry, which must be the next.
func (s *Store) follow(index uint64) {
	// A panic, since going on would answer from a state that no log explains:
	// this daemon must not lead, answer or save it.
	if index != s.Applied+1 {
		panic(fmt.Sprintf("store: entry %d does not follow the state, which has applied %d", index, s.Applied))
	}
	s.Applied = index
}

// Run applies one entry of the log and gives the outcomes in order. The entry
// must be the one after the last that was applied.
func (s *Store) Run(index uint64, data []byte) []Outcome {
	s.follow(index)
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
	s.link(data, out)
	return out
}

// canonical is the encoding that is the same, byte for byte, for the same
// state: the keys of maps are sorted.
var canonical = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic("store: " + err.Error())
	}
	return m
}()

// Save encodes the whole state. Two equal states give the same bytes.
func (s *Store) Save() []byte {
	raw, err := canonical.Marshal(s)
	if err != nil {
		panic("store: " + err.Error())
	}
	return raw
}

// Load reads a state that Save wrote. The limits hold for one that has none:
// an empty one, or one saved before they were part of the state.
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
