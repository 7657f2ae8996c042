// Package golden compares encodings with files of bytes that an earlier version
// wrote. It serves tests alone: what is stored on disks or sent between daemons
// must stay readable, and be written alike, whatever the code's names become.
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

var update = flag.Bool("update", false, "write the golden files anew from the present code")

// Updating reports whether golden files are to be written instead of compared.
func Updating() bool { return *update }

// Codec encodes and decodes values as the program does.
type Codec struct {
	Encode func(value any) ([]byte, error)
	Decode func(raw []byte, into any) error
}

// Case is a named value, given by a pointer. Its fields must be filled with
// values that differ from one another, so that a change of their order shows.
type Case struct {
	Name  string
	Value any
}

// Check demands that each value encodes to the bytes of its line in the file, and
// that these bytes decode to the value. A line holds a name and bytes in hex.
func Check(t *testing.T, file string, codec Codec, cases []Case) {
	t.Helper()
	var text strings.Builder
	for _, c := range cases {
		for _, fault := range unfilled(reflect.ValueOf(c.Value), c.Name) {
			t.Error(fault)
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
			t.Errorf("%s does not decode: %v", c.Name, err)
			continue
		}
		if !reflect.DeepEqual(decoded.Interface(), c.Value) {
			t.Errorf("%s decodes to\n%+v, want\n%+v", c.Name, decoded.Elem(), reflect.ValueOf(c.Value).Elem())
		}
	}
}

// Text demands that a file under testdata holds a text; with -update it writes it.
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

// read returns the bytes of a golden file, in hex, by name.
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
			t.Fatalf("%s: %s stands twice", file, name)
		}
		lines[name] = bytes
	}
	return lines
}

// unfilled lists the fields of a value that are empty, and those that hold the
// same as another field of their struct and type: bytes would not tell them
// apart. Booleans are left to several cases with one of them set.
func unfilled(v reflect.Value, path string) []string {
	var faults []string
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return []string{path + " is nil"}
		}
		return unfilled(v.Elem(), path)
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			faults = append(faults, unfilled(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			faults = append(faults, unfilled(v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key))...)
		}
	case reflect.Struct:
		seen := map[any]string{}
		for i := range v.NumField() {
			field, name := v.Field(i), v.Type().Field(i).Name
			if !v.Type().Field(i).IsExported() || field.Kind() == reflect.Bool {
				continue
			}
			if field.IsZero() {
				faults = append(faults, path+"."+name+" is empty")
			}
			if field.Comparable() && field.Kind() != reflect.Pointer {
				if other, same := seen[field.Interface()]; same {
					faults = append(faults, path+"."+name+" holds the same as "+other)
				}
				seen[field.Interface()] = name
			}
			faults = append(faults, unfilled(field, path+"."+name)...)
		}
	}
	return faults
}
