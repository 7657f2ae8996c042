package api

import (
	"strings"
	"testing"

	"tealpond/internal/protocol"
)

func TestValidateJob(t *testing.T) {
	step := protocol.Step{TaskCount: 1}
	for name, c := range map[string]struct {
		job  protocol.Job
		want string
	}{
		"valid":          {protocol.Job{Steps: []protocol.Step{step, {TaskCount: 2, DependsOn: []int{0}}}}, ""},
		"no steps":       {protocol.Job{}, "steps: missing"},
		"spec too long":  {protocol.Job{Spec: strings.Repeat("x", 4001), Steps: []protocol.Step{step}}, "jobSpec"},
		"no tasks":       {protocol.Job{Steps: []protocol.Step{{}}}, "steps[0].taskCount"},
		"negative":       {protocol.Job{Steps: []protocol.Step{{TaskCount: 1, CPUUnits: -1}}}, "steps[0].cpuUnits"},
		"own step":       {protocol.Job{Steps: []protocol.Step{{TaskCount: 1, DependsOn: []int{0}}}}, "steps[0].dependsOn"},
		"unknown step":   {protocol.Job{Steps: []protocol.Step{step, {TaskCount: 1, DependsOn: []int{7}}}}, "steps[1].dependsOn"},
		"negative times": {protocol.Job{Steps: []protocol.Step{step}, PeriodicInstances: -1}, "runTimes"},
	} {
		got := ""
		if err := ValidateJob(&c.job); err != nil {
			got = err.Error()
		}
		if c.want == "" && got != "" || !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
