package server

import (
	"maps"
	"slices"
	"time"
)

// loopMetrics counts and times the work of the loop, by cause, for the debug log. A nil value
// counts nothing and has no overhead.
type loopMetrics struct {
	since     time.Time
	counts    map[string]int64
	durations map[string]time.Duration
}

func newLoopMetrics(enabled bool) *loopMetrics {
	if !enabled {
		return nil
	}
	return &loopMetrics{counts: map[string]int64{}, durations: map[string]time.Duration{}}
}

// count adds n to a counter.
func (m *loopMetrics) count(name string, n int) {
	if m != nil {
		m.counts[name] += int64(n)
	}
}

// startTimer starts to time a part of the loop. The returned function stops the timer.
func (m *loopMetrics) startTimer(name string) func() {
	if m == nil {
		return func() {}
	}
	start := time.Now()
	return func() { m.durations[name] += time.Since(start) }
}

// logLine returns the counts of the last second, sorted by name, and resets them. It returns
// nil before a second has passed.
func (m *loopMetrics) logLine(now time.Time) []any {
	if m == nil || now.Sub(m.since) < time.Second {
		return nil
	}
	m.since = now
	line := []any{"level", "debug", "event", "loop.measured"}
	for _, name := range slices.Sorted(maps.Keys(m.counts)) {
		line = append(line, name, m.counts[name])
	}
	for _, name := range slices.Sorted(maps.Keys(m.durations)) {
		line = append(line, name+"_us", m.durations[name].Microseconds())
	}
	m.counts, m.durations = map[string]int64{}, map[string]time.Duration{}
	return line
}
