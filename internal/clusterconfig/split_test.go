package clusterconfig

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// TestServiceForJobFollowsShares checks that jobs are divided among the services in proportion to the
// shares, and that no job gets a service without a share.
func TestServiceForJobFollowsShares(t *testing.T) {
	const jobs, tolerance = 10_000, 0.02
	for _, parts := range [][]SplitPart{
		{{"a", 90}, {"b", 10}},
		{{"a", 0}, {"b", 0.25}, {"c", 0.75}},
		{{"a", 1}, {"b", 1}, {"a", 2}},
		{{"a", math.MaxFloat64}, {"b", math.SmallestNonzeroFloat64}},
	} {
		route, sum := Route{Split: parts}, 0.0
		want, got := map[string]float64{}, map[string]float64{}
		for _, part := range parts {
			sum += part.Share
		}
		for _, part := range parts {
			want[part.TargetService] += part.Share / sum
		}
		for i := range jobs {
			got[route.ServiceForJob(fmt.Sprintf("%016x", i))] += 1.0 / jobs
		}
		for service, share := range want {
			if math.Abs(got[service]-share) > tolerance {
				t.Errorf("%v: service %s got %.3f of the jobs, want %.3f", parts, service, got[service], share)
			}
		}
		for service := range got {
			if !slices.Contains(route.Services(), service) {
				t.Errorf("%v: %s got a job, want one of %v", parts, service, route.Services())
			}
		}
	}
}

// TestServiceForJobStays checks the services of some jobs. Replicas of all versions of the program
// must choose alike, so these must never change.
func TestServiceForJobStays(t *testing.T) {
	route := Route{Split: []SplitPart{{"a", 1}, {"b", 2}, {"c", 3}}}
	got := ""
	for i := range 24 {
		got += route.ServiceForJob(fmt.Sprintf("%016x", i))
	}
	if want := "cbabcbccccaccccaccccbabb"; got != want {
		t.Errorf("services %s, want %s", got, want)
	}
	if service := (&Route{TargetService: "s"}).ServiceForJob("1"); service != "s" {
		t.Errorf("a route without a split has service %s, want s", service)
	}
}
