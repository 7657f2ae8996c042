package door

import (
	"strings"
	"testing"

	"tealpond/internal/wire"
)

func TestJobFault(t *testing.T) {
	step := wire.Step{TaskCount: 1}
	for name, c := range map[string]struct {
		job  wire.Job
		want string
	}{
		"good":           {wire.Job{Steps: []wire.Step{step, {TaskCount: 2, DependsOn: []int{0}}}}, ""},
		"no steps":       {wire.Job{}, "steps: missing"},
		"long spec":      {wire.Job{JobSpec: strings.Repeat("x", 4001), Steps: []wire.Step{step}}, "jobSpec"},
		"no tasks":       {wire.Job{Steps: []wire.Step{{}}}, "steps[0].taskCount"},
		"negative":       {wire.Job{Steps: []wire.Step{{TaskCount: 1, CPUUnits: -1}}}, "steps[0].cpuUnits"},
		"cycle":          {wire.Job{Steps: []wire.Step{{TaskCount: 1, DependsOn: []int{0}}}}, "steps[0].dependsOn"},
		"unknown":        {wire.Job{Steps: []wire.Step{step, {TaskCount: 1, DependsOn: []int{7}}}}, "steps[1].dependsOn"},
		"negative times": {wire.Job{Steps: []wire.Step{step}, RunTimes: -1}, "runTimes"},
	} {
		got := JobFault(&c.job)
		if c.want == "" && got != "" || !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
