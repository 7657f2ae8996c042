package server

import (
	"testing"
)

// TestLowerMedian: of two in the middle the lower one, so that no run starts too early.
func TestLowerMedian(t *testing.T) {
	for _, test := range []struct {
		offsets []int64
		want    int64
	}{
		{[]int64{7}, 7},
		{[]int64{9, 7}, 7},
		{[]int64{9, -100, 7}, 7},
		{[]int64{9, 8, 1 << 40, 7}, 8},
	} {
		if got := lowerMedian(append([]int64(nil), test.offsets...)); got != test.want {
			t.Errorf("%v: %d, want %d", test.offsets, got, test.want)
		}
	}
}
