package federation

import (
	"errors"
	"strings"
	"testing"

	"tealpond/internal/settings"
)

// validFile is a settings file without errors.
const validFile = `name = "a"
[[peers]]
name = "b"
key = "0123456789abcdef"
seeds = ["10.0.0.1:7720"]
[[lanes]]
here = "x"
peer = "b"
there = "y"
`

// TestSettingsErrorsNameTheField checks that each error names the field and the file, and is a
// *settings.FieldError.
func TestSettingsErrorsNameTheField(t *testing.T) {
	if _, err := Parse("f", []byte(validFile)); err != nil {
		t.Fatal(err)
	}
	for edit, field := range map[[2]string]string{
		{`name = "a"`, ``}:                        "field name",
		{`key = "0123456789abcdef"`, `key = "x"`}: "field peers.key",
		{`"10.0.0.1:7720"`, `"here"`}:             "field peers.seeds",
		{`peer = "b"`, `peer = "c"`}:              "field lanes.peer",
		{`name = "a"`, `name = "a"
crowdedAt = 2.0`}: "field crowdedAt",
		{`name = "a"`, `name = "a"
crowdedat2 = 2.0`}: "field crowdedat2",
		{`name = "b"`, `name = "a"`}: "field peers.name",
	} {
		_, err := Parse("f", []byte(strings.Replace(validFile, edit[0], edit[1], 1)))
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%v: %v, want %s", edit, err, field)
		}
		var problem *settings.FieldError
		if !errors.As(err, &problem) || "field "+problem.Field != field || problem.Path != "f" {
			t.Errorf("%v: %#v", edit, err)
		}
	}
}
