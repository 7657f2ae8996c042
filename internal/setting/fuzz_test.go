package setting

import (
	"strings"
	"testing"
)

// FuzzParse: any text is a whole setting or an error of one line that names the
// file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(strings.Replace(good, "[limits]", "[[limits]]", 1)))
	f.Add([]byte("innerPortRange = [1]"))
	f.Add([]byte("seedNodes = 3\n\x00"))
	f.Add([]byte("a.b.c = {"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse("f.toml", raw)
		if err != nil {
			if !strings.Contains(err.Error(), "f.toml") || strings.Contains(err.Error(), "\n") {
				t.Fatalf("%q", err)
			}
			return
		}
		if s.Inner() == "" || s.InnerSide() == "" || len(s.Seeds()) != len(s.SeedNodes) {
			t.Fatalf("%+v", s)
		}
	})
}
