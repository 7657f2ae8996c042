package scheduler

import "testing"

func TestDeadlineClassAndLatestStart(t *testing.T) {
	for name, c := range map[string]struct {
		now, submittedAt, target, remaining int64
		class                               deadlineClass
		latestStart                         int64
	}{
		"early":               {now: 100, submittedAt: 100, target: 50, remaining: 20, class: onTime, latestStart: 130},
		"latest on time":      {now: 130, submittedAt: 100, target: 50, remaining: 20, class: onTime, latestStart: 130},
		"just late":           {now: 131, submittedAt: 100, target: 50, remaining: 20, class: late, latestStart: 230},
		"latest to be late":   {now: 230, submittedAt: 100, target: 50, remaining: 20, class: late, latestStart: 230},
		"just too late":       {now: 231, submittedAt: 100, target: 50, remaining: 20, class: tooLate, latestStart: 100},
		"path exceeds target": {now: 100, submittedAt: 100, target: 50, remaining: 60, class: late, latestStart: 190},
	} {
		class, latestStart := classifyDeadline(c.now, c.submittedAt, c.target, c.remaining)
		if class != c.class || latestStart != c.latestStart {
			t.Errorf("%s: class %d and latest start %d, want %d and %d", name, class, latestStart, c.class, c.latestStart)
		}
	}
}
