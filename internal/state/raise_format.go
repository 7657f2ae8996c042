package state

import (
	"fmt"

	"tealpond/internal/protocol"
)

// RaiseFormat puts a newer format of the state into force. The leader proposes it once every server
// supports that format. Until then commands have the effects that they had in programs of the format
// in force, so that replicas of different programs stay equal.
type RaiseFormat struct {
	_       struct{} `cbor:",toarray"`
	Version int      // one of the Format constants
}

// Apply puts the format into force, also for open jobs. A format that is not above the one in force
// changes nothing. It panics if this program does not support the format: its state would diverge
// from that of the other replicas. The outcome's Value is the format in force.
func (c *RaiseFormat) Apply(s *Store) Outcome {
	if c.Version > FormatVersion {
		panic(fmt.Sprintf("state: cannot apply format %d: this program supports formats up to %d", c.Version, FormatVersion))
	}
	if c.Version > s.Format {
		earlier := s.Format
		s.Format = c.Version
		s.boundOpenJobs()
		if earlier < FormatQueues && s.Format >= FormatQueues {
			s.keyRoutesByQueue()
		}
		s.applyRoutesToOpenJobs()
		s.rebuildIndex()
	}
	return Outcome{Code: CodeOK, Value: int64(s.Format)}
}

// boundOpenJobs bounds the quantities of jobs that were accepted in an earlier format.
func (s *Store) boundOpenJobs() {
	if s.Format < FormatBoundedJobs {
		return
	}
	for _, job := range s.openJobs {
		job.Steps = protocol.BoundedSteps(job.Steps)
	}
}
