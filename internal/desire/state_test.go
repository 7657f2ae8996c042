package desire

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestFaults runs the examples of docs/desired.examples.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "../../docs/desired.examples", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Read([]byte(d.Input))
		if err == nil {
			err = Check([]byte(d.Input))
		}
		if err != nil {
			return err.Error() + "\n"
		}
		if d.Cmd == "lane" {
			var host, path string
			d.ScanArgs(t, "host", &host)
			d.ScanArgs(t, "path", &path)
			l, rest := NewTable(s).Find(host, path)
			if l == nil {
				return "none\n"
			}
			return strings.TrimSpace(l.Name+" "+rest) + "\n"
		}
		return "ok\n"
	})
}
