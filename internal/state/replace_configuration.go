package state

import (
	"bytes"

	"tealpond/internal/clusterconfig"
)

// ReplaceConfiguration is an operator's conditional update: it puts a configuration
// in force if the version that it is based on is still the present one.
type ReplaceConfiguration struct {
	_           struct{} `cbor:",toarray"`
	BaseVersion int64
	Raw         []byte // the text as the operator sent it
}

// Texts of the outcomes of updates that aren't put in force.
const (
	textKnown           = "known"
	textNotCurrent      = "another version is in place"
	textVersionNotAbove = "configVersion is not above the current one"
	textForgotten       = "too long ago to tell whether it was taken: read the configuration"
)

// Apply puts the configuration in force or refuses it. Of two updates based on the
// same version only the first in the log is accepted. The outcome's Value is the
// version that it put in force, or the present one.
//
// An update that is sent again, with the same base and text, has the same outcome
// each time: CodeOK if it was accepted, CodePreconditionFailed or CodeInvalid if it
// was refused. If it is older than the history the outcome is CodeUnknown.
func (c *ReplaceConfiguration) Apply(s *Store) Outcome {
	if outcome, decided := c.alreadyDecided(s); decided {
		return outcome
	}
	next, err := clusterconfig.Parse(c.Raw)
	if err != nil {
		return Outcome{Code: CodeInvalid, Text: err.Error()}
	}
	if next.Version <= s.Configuration.Version {
		return Outcome{Code: CodeInvalid, Text: textVersionNotAbove, Value: s.Configuration.Version}
	}
	s.ConfigurationHistory.recordAccepted(c.BaseVersion, next.Version, configurationDigest(c.Raw))
	s.applyConfiguration(next)
	return Outcome{Code: CodeOK, Value: next.Version}
}

// alreadyDecided returns the outcome of an update that was decided before, or
// that isn't based on the present version.
func (c *ReplaceConfiguration) alreadyDecided(s *Store) (Outcome, bool) {
	current := s.Configuration.Version
	digest := configurationDigest(c.Raw)
	notCurrent := Outcome{Code: CodePreconditionFailed, Text: textNotCurrent, Value: current}
	if record, ok := s.ConfigurationHistory.acceptedOn(c.BaseVersion); ok {
		if record.Digest == digest {
			return Outcome{Code: CodeOK, Text: textKnown, Value: record.Version}, true
		}
		return notCurrent, true
	}
	if forgotten := s.ConfigurationHistory.forgottenVersion(current); c.BaseVersion < forgotten {
		return c.decideForgotten(s, forgotten, notCurrent), true
	}
	switch {
	case c.BaseVersion > current:
		// It is refused for good: if its base comes into force later, a delayed
		// copy of this update must not be accepted.
		s.ConfigurationHistory.recordRefused(c.BaseVersion, digest)
		return notCurrent, true
	case c.BaseVersion < current || s.ConfigurationHistory.wasRefused(c.BaseVersion, digest):
		return notCurrent, true
	}
	return Outcome{}, false
}

// decideForgotten returns the outcome of an update whose base is older than the
// history. It can have been accepted only if its own version is at most forgotten.
func (c *ReplaceConfiguration) decideForgotten(s *Store, forgotten int64, notCurrent Outcome) Outcome {
	if len(s.ConfigurationHistory.Accepted) == 0 && bytes.Equal(c.Raw, s.Configuration.Raw) {
		return Outcome{Code: CodeOK, Text: textKnown, Value: s.Configuration.Version}
	}
	if config, err := clusterconfig.Parse(c.Raw); err != nil || config.Version > forgotten {
		return notCurrent
	}
	return Outcome{Code: CodeUnknown, Text: textForgotten, Value: s.Configuration.Version}
}

// applyConfiguration puts a configuration in force, also for open jobs.
func (s *Store) applyConfiguration(next *clusterconfig.Config) {
	s.Configuration = *next
	s.routeTable = clusterconfig.NewRouteTable(&s.Configuration)
	s.keyTable = clusterconfig.NewKeyTable(&s.Configuration)
	s.adoptQuotas(s.Configuration.Tenants())
	for i := range s.Configuration.Routes {
		route := s.Configuration.Routes[i]
		s.Routes[route.Name] = &route
	}
	for _, service := range s.Configuration.Services {
		s.Services[service.Name] = service
	}
	for _, job := range s.openJobs {
		if route := s.Routes[job.Route]; route != nil {
			job.followRoute(route)
		}
	}
	s.rebuildIndex()
}
