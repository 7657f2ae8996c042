package clock

import (
	"slices"
	"testing"
	"time"
)

// TestLowerMedian checks that the median is the lower of two middle values, so that no run starts
// too early.
func TestLowerMedian(t *testing.T) {
	for _, test := range []struct {
		times []time.Duration
		want  time.Duration
	}{
		{[]time.Duration{7}, 7},
		{[]time.Duration{9, 7}, 7},
		{[]time.Duration{9, -100, 7}, 7},
		{[]time.Duration{9, 8, 1 << 40, 7}, 8},
	} {
		if got := lowerMedian(slices.Clone(test.times)); got != test.want {
			t.Errorf("%v: %d, want %d", test.times, got, test.want)
		}
	}
}

// TestMonotonicContinuesAfterElection checks that a new leader's clock includes the time since the
// last entry of the previous leader, and is never ahead of that leader's clock.
func TestMonotonicContinuesAfterElection(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	clock := NewMonotonic(start)
	clock.Observe(at(10), 1, 50_000) // as the leader stamped it at 10 s
	clock.Observe(at(13), 1, 50_100) // applied 2.9 s late
	clock.BeginTerm(at(15), 50_100)
	if got := clock.Read(at(16)); got != 56_000 {
		t.Errorf("6 s after an entry stamped 50 s the clock is at %d ms", got)
	}
	// Without any entry, the start of a replica doesn't count as the zero of the cluster's clock.
	clock = NewMonotonic(start)
	clock.Observe(at(1), 1, 0)
	clock.Observe(at(5), 1, 3_000)
	clock.BeginTerm(at(5), 3_000)
	if got := clock.Read(at(5)); got != 3_000 {
		t.Errorf("at an entry stamped 3 s the clock is at %d ms", got)
	}
	// A replica that has observed no entry since its start continues from the newest stamp in the log.
	clock = NewMonotonic(start)
	clock.BeginTerm(at(100), 20_000)
	if got := clock.Read(at(101)); got != 21_000 {
		t.Errorf("1 s after a start from an entry stamped 20 s the clock is at %d ms", got)
	}
}

// TestMonotonicIsNotAheadOfALaterTerm checks that a follower continues from the clock of the newest
// term. The leader of that term may have started behind the previous leader's clock, from the newest
// entry of its log. A follower that kept the offset it had observed under the previous leader was
// ahead by the difference after its own election, and locks were granted to a second holder.
func TestMonotonicIsNotAheadOfALaterTerm(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	clock := NewMonotonic(start)
	clock.Observe(at(10), 1, 50_000)
	clock.Observe(at(12), 2, 50_300)   // 1.7 s behind the clock of term 1
	clock.Observe(at(12.5), 2, 50_400) // applied 0.4 s late
	clock.BeginTerm(at(13), 50_400)
	if got := clock.Read(at(14)); got != 52_300 {
		t.Errorf("2 s after an entry stamped 50.3 s the clock is at %d ms", got)
	}
}
