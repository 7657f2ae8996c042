package state

import (
	"strings"
	"testing"

	"tealpond/internal/protocol"
)

// TestSnapshotOfRaisedFormatIsRefusedByEarlierPrograms guards against a server of an earlier program
// that loads a snapshot and applies commands with other effects than the rest of the group. Such a
// program decodes the snapshot as a map.
func TestSnapshotOfRaisedFormatIsRefusedByEarlierPrograms(t *testing.T) {
	f := newFixture(t)
	f.apply(&RaiseFormat{Version: FormatVersion})
	if err := snapshotDecoding.Unmarshal(f.store.EncodeSnapshot(), New(Limits{})); err == nil {
		t.Error("the snapshot was decoded as that of an earlier program")
	}
	f.store.Format = FormatVersion + 1
	if _, err := DecodeSnapshot(f.store.EncodeSnapshot(), Limits{}); err == nil || !strings.Contains(err.Error(), "format") {
		t.Errorf("a snapshot of a later format: error %v, want one that names the format", err)
	}
}

// TestRaiseFormatNeverLowersIt checks that a repeated command leaves the format as it is, and that a
// format that this program does not support ends it.
func TestRaiseFormatNeverLowersIt(t *testing.T) {
	f := newFixture(t)
	for _, version := range []int{FormatVersion, FormatUnmarked} {
		if outcome := f.apply(&RaiseFormat{Version: version}); outcome.Value != FormatVersion {
			t.Errorf("format %d: %+v, want %d in force", version, outcome, FormatVersion)
		}
	}
	defer func() {
		if recover() == nil {
			t.Error("a format that is not supported did not end the program")
		}
	}()
	f.apply(&RaiseFormat{Version: FormatVersion + 1})
}

// TestRunsOfSplitRouteAreUncharged guards against a quota that fills up for good: runs whose job had
// no service, at priority 0, were charged to their tenant and not subtracted when they ended.
func TestRunsOfSplitRouteAreUncharged(t *testing.T) {
	split := strings.Replace(testConfiguration, `"targetService":"s"`, `"trafficSplit":[{"targetService":"s","share":1}]`, 1)
	for _, c := range []struct {
		name  string
		early bool // the format is raised before the run is allocated
	}{{"before", true}, {"after", false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			worker := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
			f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 10})
			f.store.setTenant(f.store.Jobs["j"], JobTenant{Tenant: "t"})
			if c.early {
				f.apply(&RaiseFormat{Version: FormatVersion})
			}
			f.applyPlan("j", 0, false, placementOn(worker, 0))
			f.apply(&ReplaceConfiguration{BaseVersion: 1, Raw: []byte(strings.Replace(split, "%d", "2", 1))})
			f.apply(&CancelJob{ID: "j"})
			f.apply(&RaiseFormat{Version: FormatVersion})
			f.reportCompletion("a", TaskName("j", 0, 0, 0), 1, "stopped")
			if use := f.store.TenantUse("t"); use != (TenantUse{}) || len(f.store.Allocations) != 0 {
				t.Errorf("the tenant uses %+v with %d runs, want none", use, len(f.store.Allocations))
			}
			checkInvariants(t, f.store)
		})
	}
}
