package clusterconfig

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestConfigurationExamples runs the documented examples in docs/desired.examples.
func TestConfigurationExamples(t *testing.T) {
	datadriven.RunTest(t, "../../docs/desired.examples", func(t *testing.T, d *datadriven.TestData) string {
		config, err := Parse([]byte(d.Input))
		if err == nil {
			err = Validate([]byte(d.Input))
		}
		if err != nil {
			return err.Error() + "\n"
		}
		if d.Cmd == "route" {
			var host, path string
			d.ScanArgs(t, "host", &host)
			d.ScanArgs(t, "path", &path)
			route, rest := NewRouteTable(config).Find(host, path)
			if route == nil {
				return "none\n"
			}
			return strings.TrimSpace(route.Name+" "+rest) + "\n"
		}
		return "ok\n"
	})
}
