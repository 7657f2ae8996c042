package settings

import (
	"bytes"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/BurntSushi/toml"

	"tealpond/internal/golden"
)

// TestSettingsFile compares a daemon's settings file with all its keys with the golden
// file, both encoded and decoded.
func TestSettingsFile(t *testing.T) {
	want := File{
		NodeName: "node", Role: "role", Serves: []string{"edge", "control", "side"}, IPAddress: "10.1.0.10", Zone: "zone", Zones: map[string]string{"zone": "region"},
		InnerPortRange: []int{7720, 7735}, SeedNodes: []string{"10.1.0.11:8166", "10.1.0.12:8166"}, FirstStart: true, LossCounts: true,
		DataDir: "/data", HeartbeatIntervalMs: 501, AssignmentProtocol: "duty_call", RunnerAddress: "10.1.0.10:8165", TargetService: "service",
		ListenAddresses: ListenAddresses{FrontHTTP: "10.1.0.10:8161", Readiness: "10.1.0.10:8167", Control: "10.1.0.10:8166"},
		Limits:          Limits{CPUShare: 0.5, MemoryMB: 284, MaxFileDescriptors: 1024, DiskMB: 300},
		Tolerance:       Tolerance{LostMachines: 1},
		Bounds: Bounds{InTouchMs: 3001, GraceS: 6.5, MaxLeaseMs: 6002, StopGraceMs: 403, DrainMs: 2508, GangWaitMs: 3004, EarlyMs: 105, StatusS: 120.5,
			SpreadFactor: 1.5, QuotaWindowS: 5.5, QuotaOverrun: 0.15, QuotaSlack: 16.5, RestoreMs: 4006, ConfigApplyMs: 2007, EvacuateMs: 5009, HistoryS: 20.5, FreeAfterMs: 1501, CheckpointEveryS: 1.25},
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(want); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "settings.toml", text.String())
	got, err := Load(filepath.Join("testdata", "settings.toml"))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the file was decoded as\n%+v, %v, want\n%+v", got, err, want)
	}
}
