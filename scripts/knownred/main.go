// Command knownred reads the list of tests that are known to fail, prints it to the standard
// error, and prints the pattern for the -skip flag of go test by which exactly those are passed
// over. It fails if an entry is incomplete.
package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

func main() {
	if len(os.Args) != 2 {
		fail(fmt.Errorf("usage: knownred FILE"))
	}
	text, err := os.ReadFile(os.Args[1])
	if err != nil {
		fail(err)
	}
	entries, err := parse(string(text))
	if err != nil {
		fail(fmt.Errorf("%s: %w", os.Args[1], err))
	}
	if len(entries) > 0 {
		fmt.Fprintf(os.Stderr, "known to fail, passed over:\n%s\n", strings.TrimSpace(string(text)))
	}
	fmt.Println(skipPattern(entries))
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// fields are those of an entry; each is required.
var fields = []string{"test", "command", "seed", "seen", "issue"}

// entry is a test that is known to fail, by its fields.
type entry map[string]string

// parse reads entries, which are separated by blank lines; each line holds a field's name, a
// colon and its value, or goes on with the value before it if it is indented.
func parse(text string) ([]entry, error) {
	var entries []entry
	for block := range strings.SplitSeq(strings.TrimSpace(text), "\n\n") {
		if strings.TrimSpace(block) == "" {
			continue
		}
		parsed, err := parseEntry(block)
		if err != nil {
			return nil, err
		}
		entries = append(entries, parsed)
	}
	return entries, nil
}

func parseEntry(block string) (entry, error) {
	parsed, last := entry{}, ""
	for line := range strings.SplitSeq(strings.TrimSpace(block), "\n") {
		name, value, hasColon := strings.Cut(line, ":")
		switch {
		case strings.HasPrefix(line, " ") && last != "":
			parsed[last] += " " + strings.TrimSpace(line)
		case hasColon:
			last = strings.TrimSpace(name)
			parsed[last] = strings.TrimSpace(value)
		default:
			return nil, fmt.Errorf("%q is no field", line)
		}
	}
	for _, field := range fields {
		if parsed[field] == "" {
			return nil, fmt.Errorf("the entry of test %q has no %s", parsed["test"], field)
		}
	}
	if !regexp.MustCompile(`^[0-9]+$`).MatchString(parsed["issue"]) {
		return nil, fmt.Errorf("the entry of test %q: issue %q is no number", parsed["test"], parsed["issue"])
	}
	return parsed, nil
}

// skipPattern is the pattern that matches the entries' tests, and subtests if those are named,
// and no others.
func skipPattern(entries []entry) string {
	var patterns []string
	for _, e := range entries {
		var elements []string
		for element := range strings.SplitSeq(e["test"], "/") {
			elements = append(elements, "^"+regexp.QuoteMeta(element)+"$")
		}
		patterns = append(patterns, strings.Join(elements, "/"))
	}
	return strings.Join(patterns, "|")
}
