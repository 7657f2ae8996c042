package protocol

import (
	"encoding/json"
	"strings"
)

// Labels decodes from either a single label or a list of labels, since the protocol
// has a single label in a field with a plural name.
type Labels []string

// UnmarshalJSON decodes a string or a list of strings.
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
