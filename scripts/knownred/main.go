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

// entry is a test that is known to fail; each field is required.
type entry struct{ test, command, seed, seen, issue string }

// field returns an entry's field by its name in the file; nil if there is none of the name.
func (e *entry) field(name string) *string {
	return map[string]*string{"test": &e.test, "command": &e.command, "seed": &e.seed, "seen": &e.seen, "issue": &e.issue}[name]
}

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
	var parsed entry
	var last *string
	for line := range strings.SplitSeq(strings.TrimSpace(block), "\n") {
		if strings.HasPrefix(line, " ") && last != nil {
			*last += " " + strings.TrimSpace(line)
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		if last = parsed.field(strings.TrimSpace(name)); last == nil {
			return entry{}, fmt.Errorf("%q is no field", line)
		}
		*last = strings.TrimSpace(value)
	}
	for _, name := range []string{"test", "command", "seed", "seen", "issue"} {
		if *parsed.field(name) == "" {
			return entry{}, fmt.Errorf("the entry of test %q has no %s", parsed.test, name)
		}
	}
	if !issueNumber.MatchString(parsed.issue) {
		return entry{}, fmt.Errorf("the entry of test %q: issue %q is no number", parsed.test, parsed.issue)
	}
	return parsed, nil
}

// issueNumber is what an entry's issue looks like.
var issueNumber = regexp.MustCompile(`^[0-9]+$`)

// skipPattern is the pattern that matches the entries' tests, and subtests if those are named,
// and no others.
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
