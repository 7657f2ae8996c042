package state

import "tealpond/internal/clusterconfig"

// ChangeConfiguration is an operator's conditional update of single items: it puts the
// configuration in force into which the change turns the present one.
type ChangeConfiguration struct {
	_           struct{} `cbor:",toarray"`
	BaseVersion int64
	Raw         []byte // the change as the operator sent it
}

// Apply puts the changed configuration in force or refuses the change, by the rules and
// with the outcomes of ReplaceConfiguration.
func (c *ChangeConfiguration) Apply(s *Store) Outcome {
	update := configurationUpdate{baseVersion: c.BaseVersion, text: c.Raw}
	if outcome, decided := update.alreadyDecided(s); decided {
		return outcome
	}
	whole, err := clusterconfig.ApplyChange(s.Configuration.Raw, c.Raw)
	if err != nil {
		return Outcome{Code: CodeInvalid, Text: err.Error()}
	}
	return update.accept(s, whole)
}
