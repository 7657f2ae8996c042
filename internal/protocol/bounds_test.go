package protocol

import (
	"math"
	"net/http"
	"slices"
	"testing"
	"time"
)

// TestTimeLeftOfExtremeNumbers guards against a client's time limit that overflows into one that has
// passed: the largest numbers mean the longest limit on each kind of machine.
func TestTimeLeftOfExtremeNumbers(t *testing.T) {
	const limit = time.Minute
	for header, want := range map[string]time.Duration{
		"": limit, "0": limit, "-1": limit, "NaN": limit, "1": time.Millisecond, "0.5": 500 * time.Microsecond,
		"60001": limit, "9223372036854775807": limit, "1e300": limit, "Inf": limit,
	} {
		request := &http.Request{Header: http.Header{}}
		request.Header.Set(HeaderTimeLeft, header)
		if got := TimeLeft(request, limit); got != want {
			t.Errorf("%q: %v, want %v", header, got, want)
		}
	}
}

// TestBoundedSteps checks that each quantity is bounded, and that the submitted steps stay as they are.
func TestBoundedSteps(t *testing.T) {
	small := []Step{{TaskCount: 1, CPUUnits: 2, MemoryMB: 3, GPUs: 4, EstimateMs: MaxQuantity}}
	if bounded := BoundedSteps(small); &bounded[0] != &small[0] {
		t.Error("steps within the bounds were copied")
	}
	large := append(slices.Clone(small), Step{TaskCount: 1, CPUUnits: math.MaxInt64, MemoryMB: math.MaxInt64, GPUs: math.MaxInt64, EstimateMs: math.MaxInt64})
	bounded := BoundedSteps(large)
	got := bounded[1]
	if got.CPUUnits != MaxQuantity || got.MemoryMB != MaxQuantity || got.GPUs != MaxQuantity || got.EstimateMs != MaxQuantity {
		t.Errorf("bounded step: %+v", got)
	}
	if large[1].CPUUnits != math.MaxInt64 {
		t.Error("the submitted steps were changed")
	}
}

// TestBoundedHeartbeat checks that a runner cannot announce more devices than a state can hold, nor times
// that overflow.
func TestBoundedHeartbeat(t *testing.T) {
	leaves := int64(math.MaxInt64)
	got := Heartbeat{FreeResources: Resources{CPUUnits: math.MaxInt64, MemoryMB: -1, GPUs: math.MaxInt64}, WarmupLeftMs: math.MaxInt64, LeavesInMs: &leaves}.Bounded()
	if got.FreeResources != (Resources{CPUUnits: MaxQuantity, GPUs: maxWorkerGPUs}) || got.WarmupLeftMs != MaxQuantity || *got.LeavesInMs != MaxQuantity {
		t.Errorf("bounded heartbeat: %+v, leaves in %d ms", got, *got.LeavesInMs)
	}
	if leaves != math.MaxInt64 {
		t.Error("the received heartbeat was changed")
	}
}
