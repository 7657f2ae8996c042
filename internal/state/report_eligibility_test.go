package state

import (
	"fmt"
	"slices"
	"testing"

	"tealpond/internal/protocol"
)

// TestNewestHealthReportCounts guards against an old report that a worker is silent which undid a newer one:
// reports are applied in each order, some of them twice or under an older fence, and the newest one under
// the worker's fence counts.
func TestNewestHealthReportCounts(t *testing.T) {
	reports := []ReportEligibility{
		{Fence: 1, Number: 9, Unhealthy: true}, // of an earlier registration
		{Fence: 2, Number: 1, Unhealthy: true},
		{Fence: 2, Number: 2},
		{Fence: 2, Number: 2},
		{Fence: 0, Number: 1, Unhealthy: true}, // of an agent that doesn't know the worker's health
	}
	for order := range permutations(len(reports)) {
		f := newFixture(t)
		a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		earlier := a.Fence
		a = f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		for _, i := range order {
			report := reports[i]
			report.ID, report.LeavesInMs = "a", -1
			report.Fence = map[int64]int64{0: 0, 1: earlier, 2: a.Fence}[report.Fence]
			if outcome := f.apply(&report); outcome.Code != CodeOK {
				t.Fatalf("order %v: report %d: %+v", order, i, outcome)
			}
		}
		if a.Unhealthy || !a.Schedulable() || !f.restored().store.Workers["a"].Schedulable() {
			t.Errorf("order %v: the worker is unhealthy, although the newest report says that it is well", order)
		}
	}
}

// permutations yields each order of n indexes.
func permutations(n int) func(yield func([]int) bool) {
	return func(yield func([]int) bool) {
		order := make([]int, n)
		for i := range order {
			order[i] = i
		}
		permute(order, 0, yield)
	}
}

// permute yields each order of the indexes from first on, and reports whether to go on.
func permute(order []int, first int, yield func([]int) bool) bool {
	if first == len(order) {
		return yield(slices.Clone(order))
	}
	for i := first; i < len(order); i++ {
		order[first], order[i] = order[i], order[first]
		if !permute(order, first+1, yield) {
			return false
		}
		order[first], order[i] = order[i], order[first]
	}
	return true
}

// TestDrainingCountsInAnyOrder checks that a report that a worker drains is never undone by one that was
// sent before or after it, whatever its number and its fence.
func TestDrainingCountsInAnyOrder(t *testing.T) {
	reports := []ReportEligibility{{Fence: 1, Number: 1, LeavesInMs: -1}, {Fence: 1, Number: 2, Draining: true, LeavesInMs: 5000},
		{Number: 1, Draining: true, Leaving: true, LeavesInMs: 5000}, {Fence: 1, Number: 3, LeavesInMs: -1, Unhealthy: true}}
	for order := range permutations(len(reports)) {
		f := newFixture(t)
		a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		for _, i := range order {
			report := reports[i]
			report.ID, report.Fence = "a", report.Fence*a.Fence
			f.apply(&report)
		}
		if !a.Draining || a.LeavesAt == 0 || !a.Unhealthy {
			t.Errorf("order %v: draining %v, leaves at %d, unhealthy %v; want all of them", order, a.Draining, a.LeavesAt, a.Unhealthy)
		}
	}
}

// TestReportsAreNumberedPerFence checks that an agent that registers again starts from the first number, and
// that nothing is kept of workers that are removed.
func TestReportsAreNumberedPerFence(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		f.apply(&ReportEligibility{ID: "a", Fence: a.Fence, Number: int64(9 - i), LeavesInMs: -1, Unhealthy: true})
		if !a.Unhealthy {
			t.Errorf("registration %d: the report was ignored", i)
		}
	}
	f.store.removeWorker(f.store.Workers["a"])
	if len(f.store.EligibilityReports) != 0 {
		t.Errorf("reports of a removed worker: %v", f.store.EligibilityReports)
	}
	if outcome := f.apply(&ReportEligibility{ID: "a"}); outcome.Code != CodeGone {
		t.Errorf("report of a removed worker: %+v, want %d", outcome, CodeGone)
	}
}

// TestUnnumberedReportHasTheEarlierEffect checks that the command that stands for a report in earlier formats
// says the same of the worker.
func TestUnnumberedReportHasTheEarlierEffect(t *testing.T) {
	for i := range 8 {
		report := &ReportEligibility{ID: "a", Number: 1, Draining: i&1 != 0, Leaving: i&2 != 0, LeavesInMs: 100, Unhealthy: i&4 != 0}
		var rows []string
		for _, unnumbered := range []bool{false, true} {
			f := newFixture(t)
			a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
			report.Fence = a.Fence
			if unnumbered {
				f.apply(report.Unnumbered())
			} else {
				f.apply(report)
			}
			rows = append(rows, fmt.Sprintf("%+v", *a))
		}
		if rows[0] != rows[1] {
			t.Errorf("report %+v: worker %s, unnumbered %s", report, rows[0], rows[1])
		}
	}
}
