package state

import "tealpond/internal/clusterconfig"

// ChangeConfiguration is an operator's conditional partial update: it applies a change
// to the current configuration and puts the result into force.
type ChangeConfiguration struct {
	_           struct{} `cbor:",toarray"`
	BaseVersion int64
	Raw         []byte // text of the change as the operator sent it
}

// Apply puts the changed configuration into force or refuses the change. It follows the
// rules of ReplaceConfiguration and has the same outcomes.
func (c *ChangeConfiguration) Apply(s *Store) Outcome {
	update := configurationUpdate{baseVersion: c.BaseVersion, text: c.Raw}
	if outcome, decided := update.alreadyDecided(s); decided {
		return outcome
	}
	result, err := clusterconfig.ApplyChange(s.Configuration.Raw, c.Raw)
	if err != nil {
		return Outcome{Code: CodeInvalid, Text: err.Error()}
	}
	return update.accept(s, result)
}
