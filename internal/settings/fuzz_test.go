package settings

import (
	"strings"
	"testing"
)

// FuzzParse checks that any input either gives a usable settings file or a one-line
// error that names the file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte(strings.Replace(validFile, "[limits]", "[[limits]]", 1)))
	f.Add([]byte("innerPortRange = [1]"))
	f.Add([]byte("seedNodes = 3\n\x00"))
	f.Add([]byte("a.b.c = {"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		file, err := Parse("f.toml", raw)
		if err != nil {
			if !strings.Contains(err.Error(), "f.toml") || strings.Contains(err.Error(), "\n") {
				t.Fatalf("%q", err)
			}
			return
		}
		if file.InternalAddress() == "" || file.AgentAddress() == "" || len(file.SeedAddresses()) != len(file.SeedNodes) {
			t.Fatalf("%+v", file)
		}
	})
}
