package server

import (
	"testing"
)

func TestValidJobID(t *testing.T) {
	for id, want := range map[string]bool{
		"0123456789abcdef":     true,
		"0123456789ABCDEF":     true,
		"":                     false,
		"0123456789abcde":      false,
		"0123456789abcdef0":    false,
		"0123456789abcdeg":     false,
		"0123456789abcde/":     false,
		"0123456789abcde:":     false,
		"0123456789abcde@":     false,
		"0123456789abcde`":     false,
		"0123456789abcd\u00e9": false,
	} {
		if got := validJobID(id); got != want {
			t.Errorf("%q: %v", id, got)
		}
	}
}
