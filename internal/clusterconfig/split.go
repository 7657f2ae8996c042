package clusterconfig

import (
	"fmt"
	"iter"
)

// splitProblems yields each problem of a traffic split with the field it concerns.
func splitProblems(parts []SplitPart, serviceNames map[string]bool) iter.Seq2[string, string] {
	return func(yield func(field, problem string) bool) {
		sum := 0.0
		for i, part := range parts {
			if !serviceNames[part.TargetService] &&
				!yield(fmt.Sprintf("trafficSplit[%d].targetService", i), fmt.Sprintf("%q is not in serviceList", part.TargetService)) {
				return
			}
			if part.Share < 0 && !yield(fmt.Sprintf("trafficSplit[%d].share", i), "below 0") {
				return
			}
			sum += part.Share
		}
		if sum <= 0 {
			yield("trafficSplit", "the shares add up to 0")
		}
	}
}

// ServiceFor returns the service that gets a request. The draw is a random number,
// uniformly distributed between 0 and 1.
func (r *Route) ServiceFor(draw float64) string {
	if len(r.Split) == 0 {
		return r.TargetService
	}
	sum := 0.0
	for _, part := range r.Split {
		sum += part.Share
	}
	remaining, last := draw*sum, r.Split[0].TargetService
	for _, part := range r.Split {
		if part.Share <= 0 {
			continue
		}
		last = part.TargetService
		if remaining < part.Share {
			break
		}
		remaining -= part.Share
	}
	return last
}
