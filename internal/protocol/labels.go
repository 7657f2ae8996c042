package protocol

import (
	"encoding/json"
	"strings"
)

// Labels reads either one label or a list of them, since the protocol names
// one label under a plural field.
type Labels []string

// UnmarshalJSON takes a text or a list of texts.
func (l *Labels) UnmarshalJSON(raw []byte) error {
	if strings.HasPrefix(strings.TrimSpace(string(raw)), "[") {
		var labels []string
		if err := json.Unmarshal(raw, &labels); err != nil {
			return err
		}
		*l = labels
		return nil
	}
	var label string
	if err := json.Unmarshal(raw, &label); err != nil {
		return err
	}
	if label != "" {
		*l = Labels{label}
	}
	return nil
}
