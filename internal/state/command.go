package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Outcome is the value that a command leaves for its caller.
type Outcome struct {
	_     struct{} `cbor:",toarray"`
	Code  int
	Text  string
	Value int64
}

// Command is a command: the only thing that changes the state.
type Command interface {
	Apply(s *Store) Outcome
}

// EncodedCommand is a command as it stands in the log.
type EncodedCommand struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Body []byte
}

// Batch is what one entry of the log holds.
type Batch struct {
	_         struct{} `cbor:",toarray"`
	Clock     int64
	WallClock int64
	Commands  []EncodedCommand
}

// FormatVersion is the version of the state: of its tables, its commands and what they
// do. It is raised with any change of these, so that replicas of two versions
// aren't compared.
const FormatVersion = 3

var commandConstructors = map[string]func() Command{}

func registerCommand(name string, create func() Command) { commandConstructors[name] = create }

// EncodeCommand makes a command's line in the log.
func EncodeCommand(name string, command Command) EncodedCommand {
	if commandConstructors[name] == nil {
		panic("store: unknown command " + name)
	}
	raw, err := cbor.Marshal(command)
	if err != nil {
		panic("store: " + err.Error())
	}
	return EncodedCommand{Name: name, Body: raw}
}

// BindSnapshotIndex binds a state to the index of the snapshot that it came from. One
// that holds no index yet (a new one, or one saved before indexes were kept)
// takes it; any other must agree with its own.
func (s *Store) BindSnapshotIndex(index uint64) error {
	if s.AppliedIndex == 0 {
		s.AppliedIndex = index
	}
	if s.AppliedIndex != index {
		return fmt.Errorf("store: the state follows entry %d, its snapshot %d", s.AppliedIndex, index)
	}
	return nil
}

// SkipEntry passes an entry of the log that holds no commands.
func (s *Store) SkipEntry(index uint64) {
	s.advanceIndex(index)
	s.extendDigestChain(nil, nil)
}

// advanceIndex moves the state on to an entry, which must be the next.
func (s *Store) advanceIndex(index uint64) {
	// A panic, since going on would answer from a state that no log explains:
	// this daemon must not lead, answer or save it.
	if index != s.AppliedIndex+1 {
		panic(fmt.Sprintf("store: entry %d does not follow the state, which has applied %d", index, s.AppliedIndex))
	}
	s.AppliedIndex = index
}

// ApplyEntry applies one entry of the log and gives the outcomes in order. The entry
// must be the one after the last that was applied.
func (s *Store) ApplyEntry(index uint64, data []byte) []Outcome {
	s.advanceIndex(index)
	var batch Batch
	if err := cbor.Unmarshal(data, &batch); err != nil {
		panic("store: unreadable entry: " + err.Error())
	}
	s.AdvanceClock(batch.Clock, batch.WallClock)
	outcomes := make([]Outcome, len(batch.Commands))
	for i, encoded := range batch.Commands {
		create := commandConstructors[encoded.Name]
		if create == nil {
			panic("store: unknown command in the log: " + encoded.Name)
		}
		command := create()
		if err := cbor.Unmarshal(encoded.Body, command); err != nil {
			panic("store: unreadable command " + encoded.Name + ": " + err.Error())
		}
		outcomes[i] = command.Apply(s)
	}
	s.extendDigestChain(data, outcomes)
	return outcomes
}

// canonicalEncoding is the encoding that is the same, byte for byte, for the same
// state: the keys of maps are sorted.
var canonicalEncoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic("store: " + err.Error())
	}
	return m
}()

// EncodeSnapshot encodes the whole state. Two equal states give the same bytes.
func (s *Store) EncodeSnapshot() []byte {
	raw, err := canonicalEncoding.Marshal(s)
	if err != nil {
		panic("store: " + err.Error())
	}
	return raw
}

// DecodeSnapshot reads a state that Save wrote. The limits hold for one that has none:
// an empty one, or one saved before they were part of the state.
func DecodeSnapshot(raw []byte, limits Limits) (*Store, error) {
	s := New(limits)
	if len(raw) == 0 {
		return s, nil
	}
	if err := s.decodeSnapshot(raw); err != nil {
		return nil, err
	}
	return s, nil
}
