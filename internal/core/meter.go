package core

import (
	"sort"
	"time"
)

// meter counts what this daemon's loop does, by cause, for the debug log. A
// nil meter counts nothing and costs nothing.
type meter struct {
	at        time.Time
	counts    map[string]int64
	durations map[string]time.Duration
}

func newMeter(on bool) *meter {
	if !on {
		return nil
	}
	return &meter{counts: map[string]int64{}, durations: map[string]time.Duration{}}
}

// add counts n of what.
func (m *meter) add(what string, n int) {
	if m != nil {
		m.counts[what] += int64(n)
	}
}

// span begins to time a cause; the function it gives ends that.
func (m *meter) span(what string) func() {
	if m == nil {
		return func() {}
	}
	from := time.Now()
	return func() { m.durations[what] += time.Since(from) }
}

// line gives the counts of the second that has gone by, in the order of their
// names, and begins the next; nothing before a second is over.
func (m *meter) line(now time.Time) []any {
	if m == nil || now.Sub(m.at) < time.Second {
		return nil
	}
	m.at = now
	out := []any{"level", "debug", "event", "loop"}
	var names []string
	for k := range m.counts {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		out = append(out, k, m.counts[k])
	}
	names = names[:0]
	for k := range m.durations {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		out = append(out, k+"_us", m.durations[k].Microseconds())
	}
	m.counts, m.durations = map[string]int64{}, map[string]time.Duration{}
	return out
}
