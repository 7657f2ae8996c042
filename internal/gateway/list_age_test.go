package gateway

import (
	"fmt"
	"testing"
	"time"

	"tealpond/internal/registry"
)

// TestStaleRunnerListIsNotUsed checks that beyond the maximum age only runners that responded
// recently are chosen, or none, and that all are chosen while the leader was recently
// unreachable.
func TestStaleRunnerListIsNotUsed(t *testing.T) {
	const maxAge, outageGrace = time.Second, 3 * time.Second
	for _, c := range []struct {
		age       time.Duration
		served    time.Duration // time since runner 0 responded; 0: it has not
		failedAgo time.Duration // time since a query failed; 0: none has
		choices   int           // number of runners that may be chosen
	}{
		{age: maxAge, choices: 4},
		{age: maxAge + 1, choices: 0},
		{age: maxAge + 1, served: maxAge, choices: 1},
		{age: maxAge + 1, served: maxAge + 1, choices: 0},
		{age: time.Minute, served: maxAge, choices: 1},
		{age: time.Minute, failedAgo: outageGrace, choices: 4},
		{age: time.Minute, failedAgo: outageGrace + 1, choices: 0},
	} {
		t.Run(fmt.Sprint(c.age, c.served, c.failedAgo), func(t *testing.T) {
			b := newBalancer("z", listAgeLimit{maxAge, outageGrace})
			var list []registry.Runner
			for i := range 4 {
				list = append(list, registry.Runner{ID: fmt.Sprint(i), Service: "s", Zone: "z"})
			}
			b.setRunners(list, Position{}, testStart)
			now := testStart.Add(time.Minute)
			b.listAge.confirm(now.Add(-c.age))
			b.listAge.confirm(now.Add(-c.age - time.Second)) // an older confirmation changes nothing
			if c.failedAgo > 0 {
				b.listAge.lastFailureAt = now.Add(-c.failedAgo)
			}
			if c.served > 0 {
				b.runners["0"].recordServing(now.Add(-c.served))
			}
			chosen := map[string]bool{}
			for range 200 {
				if runner := b.pick("s", nil, now); runner != nil {
					chosen[runner.ID] = true
				}
			}
			if len(chosen) != c.choices || c.choices == 1 && !chosen["0"] {
				t.Errorf("chose %v, want %d runners", chosen, c.choices)
			}
			// A runner that was tried is not chosen again, even if it responded recently.
			if served := b.runners["0"]; c.choices == 1 && b.pick("s", []*runnerState{served}, now) != nil {
				t.Error("chose a runner without a recent response")
			}
		})
	}
}
