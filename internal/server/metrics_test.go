package server

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestLoopMetrics checks that there is one line a second, with the counts and durations of that
// second, and none if the metrics are disabled.
func TestLoopMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		off := newLoopMetrics(false)
		off.count("x", 1)
		off.startTimer("x")()
		if line := off.logLine(time.Now()); line != nil {
			t.Errorf("disabled: %v", line)
		}
		on := newLoopMetrics(true)
		on.logLine(time.Now())
		on.count("b", 2)
		on.count("a", 1)
		on.count("b", 3)
		stop := on.startTimer("c")
		time.Sleep(time.Millisecond)
		stop()
		if line := on.logLine(time.Now()); line != nil {
			t.Errorf("line within the first second: %v", line)
		}
		time.Sleep(time.Second)
		if line := fmt.Sprint(on.logLine(time.Now())); line != "[level debug event loop.measured a 1 b 5 c_us 1000]" {
			t.Errorf("first line: %v", line)
		}
		time.Sleep(time.Second)
		if line := fmt.Sprint(on.logLine(time.Now())); line != "[level debug event loop.measured]" {
			t.Errorf("the next second: %v", line)
		}
	})
}
