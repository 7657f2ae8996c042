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
	update := configurationUpdate{baseVersion: c.BaseVersion, text: c.Raw}
	if outcome, decided := update.alreadyDecided(s); decided {
		return outcome
	}
	return update.accept(s, c.Raw)
}

// AcceptedUpdate reports whether an update with a base and a text was accepted, and the version
// that it put in force.
func (s *Store) AcceptedUpdate(baseVersion int64, text []byte) (version int64, accepted bool) {
	record, ok := s.ConfigurationHistory.acceptedOn(baseVersion)
	if !ok || record.Digest != configurationDigest(text) {
		return 0, false
	}
	return record.Version, true
}

// configurationUpdate is an update of either kind, as it was sent.
type configurationUpdate struct {
	baseVersion int64
	text        []byte
}

// accept puts the configuration in force that an update leads to, if it is valid and its
// version is above the present one.
func (c *configurationUpdate) accept(s *Store, whole []byte) Outcome {
	next, err := clusterconfig.Parse(whole)
	if err != nil {
		return Outcome{Code: CodeInvalid, Text: err.Error()}
	}
	if next.Version <= s.Configuration.Version {
		return Outcome{Code: CodeInvalid, Text: textVersionNotAbove, Value: s.Configuration.Version}
	}
	s.ConfigurationHistory.recordAccepted(c.baseVersion, next.Version, configurationDigest(c.text))
	s.applyConfiguration(next)
	return Outcome{Code: CodeOK, Value: next.Version}
}

// alreadyDecided returns the outcome of an update that was decided before, or
// that isn't based on the present version.
func (c *configurationUpdate) alreadyDecided(s *Store) (Outcome, bool) {
	current := s.Configuration.Version
	digest := configurationDigest(c.text)
	notCurrent := Outcome{Code: CodePreconditionFailed, Text: textNotCurrent, Value: current}
	if record, ok := s.ConfigurationHistory.acceptedOn(c.baseVersion); ok {
		if record.Digest == digest {
			return Outcome{Code: CodeOK, Text: textKnown, Value: record.Version}, true
		}
		return notCurrent, true
	}
	if forgotten := s.ConfigurationHistory.forgottenVersion(current); c.baseVersion < forgotten {
		return c.decideForgotten(s, forgotten, notCurrent), true
	}
	switch {
	case c.baseVersion > current:
		// It is refused permanently: if its base comes into force later, a delayed
		// copy of this update must not be accepted.
		s.ConfigurationHistory.recordRefused(c.baseVersion, digest)
		return notCurrent, true
	case c.baseVersion < current || s.ConfigurationHistory.wasRefused(c.baseVersion, digest):
		return notCurrent, true
	}
	return Outcome{}, false
}

// decideForgotten returns the outcome of an update whose base is older than the
// history. It can have been accepted only if its own version is at most forgotten.
func (c *configurationUpdate) decideForgotten(s *Store, forgotten int64, notCurrent Outcome) Outcome {
	if len(s.ConfigurationHistory.Accepted) == 0 && bytes.Equal(c.text, s.Configuration.Raw) {
		return Outcome{Code: CodeOK, Text: textKnown, Value: s.Configuration.Version}
	}
	if config, err := clusterconfig.Parse(c.text); err != nil || config.Version > forgotten {
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
