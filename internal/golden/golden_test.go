package golden

import (
	"reflect"
	"strings"
	"testing"
)

type row struct {
	Name  string
	Other string
	Count int
	Parts []row
}

// TestIndistinctFields checks that zero fields and equal fields are reported at any depth, and that a
// value whose fields are all set and distinct is accepted.
func TestIndistinctFields(t *testing.T) {
	part := row{Name: "c", Other: "d", Count: 2, Parts: []row{}}
	for name, c := range map[string]struct {
		value row
		want  string
	}{
		"distinct":             {row{Name: "a", Other: "b", Count: 1, Parts: []row{part}}, ""},
		"zero":                 {row{Name: "a", Other: "b", Parts: []row{part}}, "v.Count is zero"},
		"equal":                {row{Name: "a", Other: "a", Count: 1, Parts: []row{part}}, "v.Other equals Name"},
		"zero in nested value": {row{Name: "a", Other: "b", Count: 1, Parts: []row{{Name: "c", Other: "d", Parts: []row{}}}}, "v.Parts[0].Count is zero"},
	} {
		if got := strings.Join(indistinctFields(reflect.ValueOf(&c.value), "v"), "; "); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
