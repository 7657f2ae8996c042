package wire

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
		var many []string
		if err := json.Unmarshal(raw, &many); err != nil {
			return err
		}
		*l = many
		return nil
	}
	var one string
	if err := json.Unmarshal(raw, &one); err != nil {
		return err
	}
	if one != "" {
		*l = Labels{one}
	}
	return nil
}
