package scheduler

import "testing"

// TestConstantRelations holds the constants to the relations on which the scheduler rests.
func TestConstantRelations(t *testing.T) {
	for name, holds := range map[string]bool{
		"long tasks may fill the half at which a job is lost":  longTaskFreeFraction > 0.5,
		"a learnt factor lies between its bounds at the start": minStragglerFactor < initialStragglerFactor && initialStragglerFactor < maxStragglerFactor,
	} {
		if !holds {
			t.Errorf("does not hold: %s", name)
		}
	}
}
