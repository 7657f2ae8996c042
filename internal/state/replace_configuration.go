package state

import (
	"bytes"

	"tealpond/internal/clusterconfig"
)

// ReplaceConfiguration is an operator's conditional update: it puts a configuration
// into force if the version that it is based on is still the current one.
type ReplaceConfiguration struct {
	_           struct{} `cbor:",toarray"`
	BaseVersion int64
	Raw         []byte // text of the configuration as the operator sent it
}

// Texts of the outcomes of updates that are not put into force.
const (
	textAlreadyAccepted     = "known"
	textBaseNotCurrent      = "another version is in place"
	textVersionNotIncreased = "configVersion is not above the current one"
	textOutcomeUnknown      = "too long ago to tell whether it was taken: read the configuration"
)

// Apply puts the configuration into force or refuses it. Of two updates based on the
// same version only the first in the log is accepted. The outcome's Value is the
// version that the update put into force, or the current one.
//
// A resent update, with the same base and text, has the same outcome each time: CodeOK
// if it was accepted, CodePreconditionFailed or CodeInvalid if it was refused. The
// outcome is CodeUnknown if the update is older than the history and may have been
// accepted.
func (c *ReplaceConfiguration) Apply(s *Store) Outcome {
	update := configurationUpdate{baseVersion: c.BaseVersion, text: c.Raw}
	if outcome, decided := update.alreadyDecided(s); decided {
		return outcome
	}
	return update.accept(s, c.Raw)
}

// AcceptedUpdate reports whether the update with the given base and text was accepted, and the
// version that it put into force.
func (s *Store) AcceptedUpdate(baseVersion int64, text []byte) (version int64, accepted bool) {
	record, ok := s.ConfigurationHistory.acceptedOn(baseVersion)
	if !ok || record.Digest != configurationDigest(text) {
		return 0, false
	}
	return record.Version, true
}

// configurationUpdate is a ReplaceConfiguration or ChangeConfiguration as it was sent.
type configurationUpdate struct {
	baseVersion int64
	text        []byte
}

// accept puts the configuration that results from an update into force, if it is valid and
// its version is above the current one.
func (c *configurationUpdate) accept(s *Store, result []byte) Outcome {
	next, err := clusterconfig.Parse(result)
	if err != nil {
		return Outcome{Code: CodeInvalid, Text: err.Error()}
	}
	if next.Version <= s.Configuration.Version {
		return Outcome{Code: CodeInvalid, Text: textVersionNotIncreased, Value: s.Configuration.Version}
	}
	s.ConfigurationHistory.recordAccepted(c.baseVersion, next.Version, configurationDigest(c.text))
	s.applyConfiguration(next)
	return Outcome{Code: CodeOK, Value: next.Version}
}

// alreadyDecided returns the outcome of an update that was decided before, or that is not
// based on the current version. It returns false for other updates.
func (c *configurationUpdate) alreadyDecided(s *Store) (Outcome, bool) {
	current := s.Configuration.Version
	digest := configurationDigest(c.text)
	notCurrent := Outcome{Code: CodePreconditionFailed, Text: textBaseNotCurrent, Value: current}
	if record, ok := s.ConfigurationHistory.acceptedOn(c.baseVersion); ok {
		if record.Digest == digest {
			return Outcome{Code: CodeOK, Text: textAlreadyAccepted, Value: record.Version}, true
		}
		return notCurrent, true
	}
	if oldestBase := s.ConfigurationHistory.oldestRecordedBase(current); c.baseVersion < oldestBase {
		return c.decideWithoutRecord(s, oldestBase, notCurrent), true
	}
	switch {
	case c.baseVersion > current:
		// The refusal is permanent: if the base comes into force later, a delayed
		// copy of this update must not be accepted.
		s.ConfigurationHistory.recordRefused(c.baseVersion, digest)
		return notCurrent, true
	case c.baseVersion < current || s.ConfigurationHistory.wasRefused(c.baseVersion, digest):
		return notCurrent, true
	}
	return Outcome{}, false
}

// decideWithoutRecord returns the outcome of an update whose base is older than the
// history. It can have been accepted only if its own version is at most oldestBase.
func (c *configurationUpdate) decideWithoutRecord(s *Store, oldestBase int64, notCurrent Outcome) Outcome {
	if len(s.ConfigurationHistory.Accepted) == 0 && bytes.Equal(c.text, s.Configuration.Raw) {
		return Outcome{Code: CodeOK, Text: textAlreadyAccepted, Value: s.Configuration.Version}
	}
	if config, err := clusterconfig.Parse(c.text); err != nil || config.Version > oldestBase {
		return notCurrent
	}
	return Outcome{Code: CodeUnknown, Text: textOutcomeUnknown, Value: s.Configuration.Version}
}

// applyConfiguration puts a configuration into force, also for open jobs.
func (s *Store) applyConfiguration(next *clusterconfig.Config) {
	s.Configuration = *next
	s.routeTable = clusterconfig.NewRouteTable(&s.Configuration)
	s.keyTable = clusterconfig.NewKeyTable(&s.Configuration)
	s.updateQuotas(s.Configuration.Tenants())
	for i := range s.Configuration.Routes {
		route := s.Configuration.Routes[i]
		s.Routes[s.routeKey(&route)] = &route
	}
	for _, service := range s.Configuration.Services {
		s.Services[service.Name] = service
	}
	s.applyRoutesToOpenJobs()
	s.rebuildIndex()
}

// applyRoutesToOpenJobs copies the settings of the routes to their open jobs.
func (s *Store) applyRoutesToOpenJobs() {
	for _, job := range s.openJobs {
		if route := s.Routes[job.Route]; route != nil {
			s.applyRoute(job, route)
		}
	}
}
