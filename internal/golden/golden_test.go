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

// TestUnfilledNamesWhatBytesWouldNotTell: empty fields and equal neighbours are
// named, at any depth; a row that is filled well is not.
func TestUnfilledNamesWhatBytesWouldNotTell(t *testing.T) {
	part := row{Name: "c", Other: "d", Count: 2, Parts: []row{}}
	for name, c := range map[string]struct {
		value row
		want  string
	}{
		"filled":       {row{Name: "a", Other: "b", Count: 1, Parts: []row{part}}, ""},
		"empty":        {row{Name: "a", Other: "b", Parts: []row{part}}, "v.Count is empty"},
		"equal":        {row{Name: "a", Other: "a", Count: 1, Parts: []row{part}}, "v.Other holds the same as Name"},
		"empty within": {row{Name: "a", Other: "b", Count: 1, Parts: []row{{Name: "c", Other: "d", Parts: []row{}}}}, "v.Parts[0].Count is empty"},
	} {
		if got := strings.Join(unfilled(reflect.ValueOf(&c.value), "v"), "; "); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
