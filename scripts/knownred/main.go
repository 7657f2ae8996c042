// Command knownred reads the list of tests that are known to fail, prints it to standard error, and
// prints a pattern for the -skip flag of go test that skips exactly these tests. It fails if an entry
// is incomplete.
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
		fmt.Fprintf(os.Stderr, "skipped tests that are known to fail:\n%s\n", strings.TrimSpace(string(text)))
	}
	fmt.Println(skipPattern(entries))
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// entry is a test that is known to fail; each field is required.
type entry struct{ test, command, seed, seen, issue string }

// field returns a pointer to the field with the given name in the file, or nil if there is none.
func (e *entry) field(name string) *string {
	return map[string]*string{"test": &e.test, "command": &e.command, "seed": &e.seed, "seen": &e.seen, "issue": &e.issue}[name]
}

// parse parses entries, which are separated by blank lines. Each line holds the name of a field, a
// colon and its value; an indented line continues the value of the line before.
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
	var parsed entry
	var last *string
	for line := range strings.SplitSeq(strings.TrimSpace(block), "\n") {
		if strings.HasPrefix(line, " ") && last != nil {
			*last += " " + strings.TrimSpace(line)
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		if last = parsed.field(strings.TrimSpace(name)); last == nil {
			return entry{}, fmt.Errorf("line %q: unknown field", line)
		}
		*last = strings.TrimSpace(value)
	}
	for _, name := range []string{"test", "command", "seed", "seen", "issue"} {
		if *parsed.field(name) == "" {
			return entry{}, fmt.Errorf("entry of test %q: missing field %s", parsed.test, name)
		}
	}
	if !issueNumber.MatchString(parsed.issue) {
		return entry{}, fmt.Errorf("entry of test %q: issue %q is not a number", parsed.test, parsed.issue)
	}
	return parsed, nil
}

// issueNumber matches the issue field of an entry.
var issueNumber = regexp.MustCompile(`^[0-9]+$`)

// skipPattern returns a pattern that matches the tests of the entries, or the subtests if an entry
// names one, and no others.
func skipPattern(entries []entry) string {
	var patterns []string
	for _, e := range entries {
		var elements []string
		for element := range strings.SplitSeq(e.test, "/") {
			elements = append(elements, "^"+regexp.QuoteMeta(element)+"$")
		}
		patterns = append(patterns, strings.Join(elements, "/"))
	}
	return strings.Join(patterns, "|")
}
