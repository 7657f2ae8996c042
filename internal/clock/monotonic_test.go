package clock

import (
	"slices"
	"testing"
	"time"
)

// TestLowerMedian: of two in the middle the lower one, so that no run starts too early.
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

// TestStateClockGoesOnOverElections: a new leader's clock takes in the time since the
// last entry of the one before it, and is never ahead of it.
func TestStateClockGoesOnOverElections(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	clock := NewMonotonic(start)
	clock.Learn(at(10), 1, 50_000) // as the leader stamped it at 10 s
	clock.Learn(at(13), 1, 50_100) // applied 2.9 s late
	clock.BeginTerm(at(15), 50_100)
	if got := clock.Read(at(16)); got != 56_000 {
		t.Errorf("6 s after an entry of 50 s the clock shows %d ms", got)
	}
	// The start of a replica without any entry isn't the zero of the cluster's clock.
	clock = NewMonotonic(start)
	clock.Learn(at(1), 1, 0)
	clock.Learn(at(5), 1, 3_000)
	clock.BeginTerm(at(5), 3_000)
	if got := clock.Read(at(5)); got != 3_000 {
		t.Errorf("at an entry of 3 s the clock shows %d ms", got)
	}
	// Without any entry seen while it was up it goes on from the newest in the log.
	clock = NewMonotonic(start)
	clock.BeginTerm(at(100), 20_000)
	if got := clock.Read(at(101)); got != 21_000 {
		t.Errorf("1 s after a start at an entry of 20 s the clock shows %d ms", got)
	}
}

// TestStateClockIsNotAheadOfALaterTerm: a leader that started behind, from the newest entry of its
// log, stamps entries; a follower that had seen the clock of the one before it goes on from the
// later one's. Its clock was ahead by the difference once, and locks were given to a second holder.
func TestStateClockIsNotAheadOfALaterTerm(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	clock := NewMonotonic(start)
	clock.Learn(at(10), 1, 50_000)
	clock.Learn(at(12), 2, 50_300)   // 1.7 s behind the clock of term 1
	clock.Learn(at(12.5), 2, 50_400) // applied 0.4 s late
	clock.BeginTerm(at(13), 50_400)
	if got := clock.Read(at(14)); got != 52_300 {
		t.Errorf("2 s after an entry of 50.3 s the clock shows %d ms", got)
	}
}
