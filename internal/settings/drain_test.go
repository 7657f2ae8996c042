package settings

import (
	"strings"
	"testing"
)

// TestDrainTimeAcceptsFractions checks that drainMs may be an integer or a fraction. The
// documentation allows both for bounds, and some deployed settings files have a fraction
// here.
func TestDrainTimeAcceptsFractions(t *testing.T) {
	for text, want := range map[string]float64{"": 0, "drainMs = 2000": 2000, "drainMs = 2500.0": 2500} {
		s, err := Parse("f.toml", []byte(strings.Replace(validFile, "[bounds]", "[bounds]\n"+text, 1)))
		if err != nil || s.Bounds.DrainMs != want {
			t.Errorf("%q: %v, %v", text, s.Bounds.DrainMs, err)
		}
	}
}
