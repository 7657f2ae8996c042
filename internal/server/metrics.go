package server

import (
	"sort"
	"time"
)

// loopMetrics counts what this daemon's loop does, by cause, for the debug log. A
// nil meter counts nothing and costs nothing.
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

// count counts n of what.
func (m *loopMetrics) count(name string, n int) {
	if m != nil {
		m.counts[name] += int64(n)
	}
}

// startTimer begins to time a cause; the function it gives ends that.
func (m *loopMetrics) startTimer(name string) func() {
	if m == nil {
		return func() {}
	}
	start := time.Now()
	return func() { m.durations[name] += time.Since(start) }
}

// logLine gives the counts of the second that has gone by, in the order of their
// names, and begins the next; nothing before a second is over.
func (m *loopMetrics) logLine(now time.Time) []any {
	if m == nil || now.Sub(m.since) < time.Second {
		return nil
	}
	m.since = now
	line := []any{"level", "debug", "event", "loop"}
	var names []string
	for name := range m.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		line = append(line, name, m.counts[name])
	}
	names = names[:0]
	for name := range m.durations {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		line = append(line, name+"_us", m.durations[name].Microseconds())
	}
	m.counts, m.durations = map[string]int64{}, map[string]time.Duration{}
	return line
}
