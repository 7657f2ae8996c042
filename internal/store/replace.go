package store

import (
	"bytes"

	"tealpond/internal/desire"
)

// Replace puts a desired state in force.
type Replace struct {
	_    struct{} `cbor:",toarray"`
	Base int64
	Raw  []byte
}

func init() { register("replace", func() Cmd { return &Replace{} }) }

// Apply checks the base in the order of the log: of two changes on the same
// version only the first is taken.
func (c *Replace) Apply(s *Store) Outcome {
	st, err := desire.Read(c.Raw)
	if err != nil {
		return Outcome{Code: 400, Text: err.Error()}
	}
	if st.Version == s.Desired.Version && bytes.Equal(c.Raw, s.Desired.Raw) {
		return Outcome{Code: 200, Text: "known"}
	}
	if c.Base != s.Desired.Version {
		return Outcome{Code: 412, Text: "another version is in place", N: s.Desired.Version}
	}
	if st.Version <= s.Desired.Version {
		return Outcome{Code: 400, Text: "configVersion is not above the current one", N: s.Desired.Version}
	}
	s.Desired = *st
	s.table = desire.NewTable(&s.Desired)
	for i := range s.Desired.Lanes {
		l := s.Desired.Lanes[i]
		s.Lanes[l.Name] = &l
	}
	for _, v := range s.Desired.Services {
		s.Services[v.Name] = v
	}
	// Why open jobs follow: their lane may now name other limits or workers.
	for _, j := range s.open {
		if l := s.Lanes[j.Lane]; l != nil {
			j.Service, j.Priority, j.MaxRounds = l.TargetService, l.Priority, max(l.MaxTries, 1)
			j.Stretch, j.TargetMs = l.Stretch, l.TargetMs
		}
	}
	s.newIndex()
	return Outcome{Code: 200, N: st.Version}
}
