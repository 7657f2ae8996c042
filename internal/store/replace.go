package store

import (
	"bytes"

	"tealpond/internal/clusterconfig"
)

// Replace puts a configuration in force that was built on version Base. Raw is
// the text as the operator sent it.
type Replace struct {
	_    struct{} `cbor:",toarray"`
	Base int64
	Raw  []byte
}

func init() { register("replace", func() Cmd { return &Replace{} }) }

// Texts of the answers to orders that aren't put in force.
const (
	textKnown      = "known"
	textNotCurrent = "another version is in place"
	textNotAbove   = "configVersion is not above the current one"
	textForgotten  = "too long ago to tell whether it was taken: read the configuration"
)

// Apply decides in the order of the log: of two changes on the same version
// only the first is accepted. The very same order (base and text, which holds
// its version) has the same answer each time: 200 if it was accepted, a refusal
// if it was refused, and 504, which is no clear answer, if it is older than
// what is remembered.
func (c *Replace) Apply(s *Store) Outcome {
	if answer, settled := c.settled(s); settled {
		return answer
	}
	next, err := clusterconfig.Parse(c.Raw)
	if err != nil {
		return Outcome{Code: 400, Text: err.Error()}
	}
	if next.Version <= s.Desired.Version {
		return Outcome{Code: 400, Text: textNotAbove, N: s.Desired.Version}
	}
	s.Taken.accept(c.Base, next.Version, digestOf(c.Raw))
	s.configure(next)
	return Outcome{Code: 200, N: next.Version}
}

// settled answers an order that was decided before or lost its race; all that
// is left is built on the current version.
func (c *Replace) settled(s *Store) (Outcome, bool) {
	current := s.Desired.Version
	digest := digestOf(c.Raw)
	notCurrent := Outcome{Code: 412, Text: textNotCurrent, N: current}
	if taken, ok := s.Taken.on(c.Base); ok {
		if taken.Digest == digest {
			return Outcome{Code: 200, Text: textKnown, N: taken.Version}, true
		}
		return notCurrent, true
	}
	if forgotten := s.Taken.forgotten(current); c.Base < forgotten {
		return c.perhapsForgotten(s, forgotten, notCurrent), true
	}
	switch {
	case c.Base > current:
		// It is refused for good: if its base comes into force later, a copy
		// that was late on its way must not be accepted after all.
		s.Taken.refuse(c.Base, digest)
		return notCurrent, true
	case c.Base < current || s.Taken.refused(c.Base, digest):
		return notCurrent, true
	}
	return Outcome{}, false
}

// perhapsForgotten answers an order on a base older than all that is
// remembered. It was accepted only if its version isn't above that.
func (c *Replace) perhapsForgotten(s *Store, forgotten int64, notCurrent Outcome) Outcome {
	if len(s.Taken.Accepted) == 0 && bytes.Equal(c.Raw, s.Desired.Raw) {
		return Outcome{Code: 200, Text: textKnown, N: s.Desired.Version}
	}
	if order, err := clusterconfig.Parse(c.Raw); err != nil || order.Version > forgotten {
		return notCurrent
	}
	return Outcome{Code: 504, Text: textForgotten, N: s.Desired.Version}
}

// configure puts a configuration in force; open jobs follow it.
func (s *Store) configure(next *clusterconfig.Config) {
	s.Desired = *next
	s.table = clusterconfig.NewRouteTable(&s.Desired)
	for i := range s.Desired.Routes {
		l := s.Desired.Routes[i]
		s.Lanes[l.Name] = &l
	}
	for _, v := range s.Desired.Services {
		s.Services[v.Name] = v
	}
	for _, j := range s.open {
		if l := s.Lanes[j.Lane]; l != nil {
			j.Service, j.Priority, j.MaxRounds = l.TargetService, l.Priority, max(l.MaxAttempts, 1)
			j.Stretch, j.TargetMs = l.Stretch, l.TargetMs
		}
	}
	s.newIndex()
}
