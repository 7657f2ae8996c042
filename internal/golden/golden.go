// Package golden compares encodings with golden files that an earlier version wrote. It is used only
// by tests. Data that is stored on disks or sent between daemons must stay readable and must be
// encoded identically, even when identifiers in the code are renamed.
package golden

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files with the output of the current code")

// Updating reports whether golden files are rewritten instead of compared.
func Updating() bool { return *update }

// Codec encodes and decodes values as the program does.
type Codec struct {
	Encode func(value any) ([]byte, error)
	Decode func(raw []byte, into any) error
}

// Case is a named value, which must be a pointer. The fields of the value must be set and differ from
// one another, so that a change of their order is detected.
type Case struct {
	Name  string
	Value any
}

// Check checks that each value encodes to the bytes in its line of the golden file, and that these
// bytes decode to the value. A line holds a name and the bytes in hex.
func Check(t *testing.T, file string, codec Codec, cases []Case) {
	t.Helper()
	var text strings.Builder
	for _, c := range cases {
		for _, problem := range indistinctFields(reflect.ValueOf(c.Value), c.Name) {
			t.Error(problem)
		}
		raw, err := codec.Encode(c.Value)
		if err != nil {
			t.Fatalf("%s: %v", c.Name, err)
		}
		fmt.Fprintf(&text, "%s %s\n", c.Name, hex.EncodeToString(raw))
	}
	Text(t, file, text.String())
	lines := read(t, file)
	for _, c := range cases {
		raw, err := hex.DecodeString(lines[c.Name])
		if err != nil {
			t.Fatalf("%s: %v", c.Name, err)
		}
		decoded := reflect.New(reflect.TypeOf(c.Value).Elem())
		if err := codec.Decode(raw, decoded.Interface()); err != nil {
			t.Errorf("decode %s: %v", c.Name, err)
			continue
		}
		if !reflect.DeepEqual(decoded.Interface(), c.Value) {
			t.Errorf("%s decodes to\n%+v, want\n%+v", c.Name, decoded.Elem(), reflect.ValueOf(c.Value).Elem())
		}
	}
}

// Text checks that a file under testdata holds a text; with -update it writes the text to the file.
func Text(t *testing.T, file, text string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	got, lines := strings.Split(text, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(got), len(lines)) {
		if line(got, i) != line(lines, i) {
			t.Errorf("%s:%d:\n got %s\nwant %s", path, i+1, line(got, i), line(lines, i))
		}
	}
}

func line(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no line)"
}

// read returns the hex strings of a golden file by name.
func read(t *testing.T, file string) map[string]string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string]string{}
	for l := range strings.Lines(string(raw)) {
		name, bytes, _ := strings.Cut(strings.TrimSpace(l), " ")
		if _, twice := lines[name]; twice {
			t.Fatalf("%s: duplicate entry %s", file, name)
		}
		lines[name] = bytes
	}
	return lines
}

// indistinctFields lists the fields of a value that are zero, and those that equal another field of
// the same type in their struct, since their encodings could not be told apart. Boolean fields are
// not checked: distinguish them by several cases with one of them set.
func indistinctFields(v reflect.Value, path string) []string {
	var problems []string
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return []string{path + " is nil"}
		}
		return indistinctFields(v.Elem(), path)
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			problems = append(problems, indistinctFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			problems = append(problems, indistinctFields(v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key))...)
		}
	case reflect.Struct:
		seen := map[any]string{}
		for i := range v.NumField() {
			field, name := v.Field(i), v.Type().Field(i).Name
			if !v.Type().Field(i).IsExported() || field.Kind() == reflect.Bool {
				continue
			}
			if field.IsZero() {
				problems = append(problems, path+"."+name+" is zero")
			}
			if field.Comparable() && field.Kind() != reflect.Pointer {
				if other, same := seen[field.Interface()]; same {
					problems = append(problems, path+"."+name+" equals "+other)
				}
				seen[field.Interface()] = name
			}
			problems = append(problems, indistinctFields(field, path+"."+name)...)
		}
	}
	return problems
}
