package agent

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestWriteMetrics: the metrics are those of the event loop, and without a session only those of
// the process.
func TestWriteMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFixtureWithRunner(t)
		f.assign(0)
		read := func() string {
			var text strings.Builder
			go func() {
				time.Sleep(time.Millisecond)
				f.agent.handle(<-f.agent.events)
			}()
			f.agent.WriteMetrics(t.Context(), &text)
			return text.String()
		}
		text := read()
		for _, line := range []string{"tealpond_runner_known 1\n", "tealpond_fence 1\n", "tealpond_runs 1\n", "tealpond_runner_leaving 0\n"} {
			if !strings.Contains(text, line) {
				t.Errorf("no %q in:\n%s", line, text)
			}
		}
		f.agent.session = nil
		if text := read(); !strings.Contains(text, "tealpond_runner_known 0\n") || strings.Contains(text, "tealpond_fence") {
			t.Errorf("without a session:\n%s", text)
		}
	})
}
