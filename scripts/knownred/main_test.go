package main

import (
	"strings"
	"testing"
)

const completeEntry = `test: TestPairs/seed_12
command: go test ./internal/simulation -run TestPairs/seed_12
seed: 12
seen: ONE, two holders
  of one lock
issue: 47
`

// TestParseRejectsIncompleteEntries checks that parse accepts only entries with all fields.
func TestParseRejectsIncompleteEntries(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		entries int
		wantErr string // substring of the error; empty if there is none
	}{
		"none":               {"", 0, ""},
		"one":                {completeEntry, 1, ""},
		"two":                {completeEntry + "\n" + strings.Replace(completeEntry, "12", "13", 1), 2, ""},
		"no seed":            {strings.Replace(completeEntry, "seed: 12", "seed:", 1), 0, "missing field seed"},
		"no issue":           {strings.Replace(completeEntry, "issue: 47", "", 1), 0, "missing field issue"},
		"issue not a number": {strings.Replace(completeEntry, "47", "the next", 1), 0, "is not a number"},
		"no field name":      {"TestPairs, cause, issue", 0, "unknown field"},
	} {
		t.Run(name, func(t *testing.T) {
			entries, err := parse(c.text)
			if len(entries) != c.entries || (err == nil) != (c.wantErr == "") || err != nil && !strings.Contains(err.Error(), c.wantErr) {
				t.Errorf("got %d entries, error %v", len(entries), err)
			}
		})
	}
}

// TestSkipPatternMatchesOnlyNamedTests checks the pattern of a subtest and a test, and that continuation
// lines are joined.
func TestSkipPatternMatchesOnlyNamedTests(t *testing.T) {
	entries, err := parse(completeEntry + "\n" + strings.Replace(completeEntry, "TestPairs/seed_12", "TestOther", 1))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := skipPattern(entries), "^TestPairs$/^seed_12$|^TestOther$"; got != want {
		t.Errorf("pattern %s, want %s", got, want)
	}
	if seen := entries[0].seen; seen != "ONE, two holders of one lock" {
		t.Errorf("seen is %q", seen)
	}
}
