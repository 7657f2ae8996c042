package clusterconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"iter"
	"slices"
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
	// The conversion keeps the compiler from fusing the product with a later subtraction, so that
	// all replicas round alike.
	remaining, last := float64(draw*sum), r.Split[0].TargetService
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

// drawBits is the number of bits of a draw, which a float64 represents exactly.
const drawBits = 53

// ServiceForJob returns the service that gets a job. It depends on nothing but the route and the
// job's ID, so that all replicas, and each repetition of a submission, get the same service.
func (r *Route) ServiceForJob(id string) string {
	if len(r.Split) == 0 {
		return r.TargetService
	}
	digest := sha256.Sum256([]byte(id))
	draw := binary.BigEndian.Uint64(digest[:]) >> (64 - drawBits)
	return r.ServiceFor(float64(draw) / (1 << drawBits))
}

// Services returns the services that get requests or jobs of the route, each once, in the order of
// the configuration.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.TargetService}
	}
	var services []string
	for _, part := range r.Split {
		if part.Share > 0 && !slices.Contains(services, part.TargetService) {
			services = append(services, part.TargetService)
		}
	}
	return services
}
