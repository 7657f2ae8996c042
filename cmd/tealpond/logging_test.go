package main

import (
	"bytes"
	"testing"

	"github.com/go-kit/log"
)

// TestLevelFilterDropsLinesBelowMinimum also checks that lines without a level are kept.
func TestLevelFilterDropsLinesBelowMinimum(t *testing.T) {
	for level, want := range map[string]string{
		"debug": "level=debug\nlevel=info\nlevel=warn\nlevel=error\nevent=x\n",
		"warn":  "level=warn\nlevel=error\nevent=x\n",
		"error": "level=error\nevent=x\n",
	} {
		var text bytes.Buffer
		filter := levelFilter{log.NewLogfmtLogger(&text), logLevels[level]}
		for _, line := range [][]any{{"level", "debug"}, {"level", "info"}, {"level", "warn"}, {"level", "error"}, {"event", "x"}} {
			if err := filter.Log(line...); err != nil {
				t.Fatal(err)
			}
		}
		if text.String() != want {
			t.Errorf("%s: %q, want %q", level, text.String(), want)
		}
	}
}
