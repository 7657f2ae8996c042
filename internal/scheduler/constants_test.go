package scheduler

import "testing"

// TestConstantRelations checks the relations between constants that the scheduler relies on. A waiting job
// counts as lost while half of the capacity is free, so long tasks must be allowed to fill that half.
func TestConstantRelations(t *testing.T) {
	for name, holds := range map[string]bool{
		"long tasks may exceed half of the capacity": longTaskFreeFraction > 0.5,
		"initial straggler factor within its bounds": minStragglerFactor < initialStragglerFactor && initialStragglerFactor < maxStragglerFactor,
	} {
		if !holds {
			t.Errorf("relation does not hold: %s", name)
		}
	}
}
