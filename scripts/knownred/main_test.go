package main

import (
	"strings"
	"testing"
)

const complete = `test: TestPairs/seed_12
command: go test ./internal/simulation -run TestPairs/seed_12
seed: 12
seen: ONE, two holders
  of one lock
issue: 47
`

func TestEntriesAreComplete(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		entries int
		fault   string // a part of the error; empty: none
	}{
		"none":          {"", 0, ""},
		"one":           {complete, 1, ""},
		"two":           {complete + "\n" + strings.Replace(complete, "12", "13", 1), 2, ""},
		"no seed":       {strings.Replace(complete, "seed: 12", "seed:", 1), 0, "no seed"},
		"no issue":      {strings.Replace(complete, "issue: 47", "", 1), 0, "no issue"},
		"issue in text": {strings.Replace(complete, "47", "the next", 1), 0, "is no number"},
		"old form":      {"TestPairs, cause, issue", 0, "is no field"},
	} {
		t.Run(name, func(t *testing.T) {
			entries, err := parse(c.text)
			if len(entries) != c.entries || (err == nil) != (c.fault == "") || err != nil && !strings.Contains(err.Error(), c.fault) {
				t.Errorf("%d entries, %v", len(entries), err)
			}
		})
	}
}

func TestOnlyTheNamedTestIsSkipped(t *testing.T) {
	entries, err := parse(complete + "\n" + strings.Replace(complete, "TestPairs/seed_12", "TestOther", 1))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := skipPattern(entries), "^TestPairs$/^seed_12$|^TestOther$"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if seen := entries[0].seen; seen != "ONE, two holders of one lock" {
		t.Errorf("seen: %q", seen)
	}
}
