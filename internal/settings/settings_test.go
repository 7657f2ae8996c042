package settings

import (
	"errors"
	"io/fs"
	"slices"
	"strings"
	"testing"
	"time"
)

// validFile is a valid settings file that also has an unknown key.
const validFile = `nodeName = "e1"
role = "x"
serves = ["edge","control"]
ipAddress = "10.1.0.10"
innerPortRange = [7720,7735]
seedNodes = ["10.1.0.10:8166"]
orders = "duty_call"
someNewField = 3
[listenAddrs]
frontHttp = "10.1.0.10:8161"
readiness = "10.1.0.10:8167"
controlAddr = "10.1.0.10:8166"
[limits]
memoryMb = 284
[bounds]
maxHoldMs = 6000
`

// TestErrorsNameFileAndField checks that each invalid field gives a one-line error that
// names the file and the field.
func TestErrorsNameFileAndField(t *testing.T) {
	if file, err := Parse("f.toml", []byte(validFile)); err != nil || file.SeedAddresses()[0] != "10.1.0.10:7720" {
		t.Fatalf("%v %v", file.SeedAddresses(), err)
	}
	for edit, want := range map[[2]string]string{
		{`nodeName = "e1"`, ``}:                "field nodeName",
		{`"10.1.0.10"`, `"here"`}:              "field ipAddress",
		{`[7720,7735]`, `[7720]`}:              "field innerPortRange",
		{`seedNodes = ["10.1.0.10:8166"]`, ``}: "field seedNodes",
		{`"duty_call"`, `"heartbeat"`}:         "field orders",
		{`frontHttp = "10.1.0.10:8161"`, ``}:   "field listenAddrs.frontHttp",
		{`maxHoldMs = 6000`, ``}:               "field bounds.maxHoldMs",
		{`orders = "duty_call"`, `deployment = "api"` + "\n" + `discovery = "cloud_api"`}: "field cloudApi.address",
		{`memoryMb = 284`, `memoryMb = "much"`}:                                           "memoryMb",
		{`["edge","control"]`, `["side"]`}:                                                "field app",
		{`controlAddr = "10.1.0.10:8166"`, ``}:                                            "field listenAddrs.controlAddr",
		{`readiness = "10.1.0.10:8167"`, `readiness=1`}:                                   "readiness",
	} {
		_, err := Parse("f.toml", []byte(strings.Replace(validFile, edit[0], edit[1], 1)))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "f.toml") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v, want %s", edit, err, want)
		}
	}
}

// TestJobSettingsAreRequiredOnlyWhereJobsRun checks that bounds.maxHoldMs is optional in
// a gateway's file and required in a scheduler's.
func TestJobSettingsAreRequiredOnlyWhereJobsRun(t *testing.T) {
	withoutLease := strings.Replace(validFile, "maxHoldMs = 6000", "", 1)
	gateway := strings.Replace(withoutLease, `orders = "duty_call"`, `contracts = ["base","retry"]`+"\ndeployment = \"api\"", 1)
	if file, err := Parse("f.toml", []byte(gateway)); err != nil || file.RunsJobs() || file.Deployment != DeploymentAPI {
		t.Errorf("a gateway's file: %v, runs jobs: %v", err, file.RunsJobs())
	}
	jobs := strings.Replace(withoutLease, `orders = "duty_call"`, `contracts = ["base","sched"]`, 1)
	if _, err := Parse("f.toml", []byte(jobs)); err == nil || !strings.Contains(err.Error(), "field bounds.maxHoldMs") {
		t.Errorf("a scheduler's file without maxHoldMs: %v", err)
	}
}

// TestFieldErrorsAreTyped checks that callers can distinguish an invalid field from a
// file that can't be read.
func TestFieldErrorsAreTyped(t *testing.T) {
	var problem *FieldError
	_, err := Parse("f.toml", []byte(strings.Replace(validFile, "memoryMb = 284", "memoryMb = 0", 1)))
	if !errors.As(err, &problem) || problem.Field != "limits.memoryMb" || problem.Path != "f.toml" {
		t.Errorf("%#v", err)
	}
	_, err = Load("testdata/absent.toml")
	if errors.As(err, &problem) || !errors.Is(err, fs.ErrNotExist) || !Error.Has(err) {
		t.Errorf("%#v", err)
	}
}

// TestDerivedAddressesAndLease checks that addresses use the same ports on all machines,
// that the server and the agent of a machine share its port range, and that a lease is
// no longer than its limit.
func TestDerivedAddressesAndLease(t *testing.T) {
	file := File{IPAddress: "10.1.0.10", InnerPortRange: []int{7720, 7735}, SeedNodes: []string{"10.1.0.11:8166", "10.1.0.12:8166"}, Bounds: Bounds{MaxLeaseMs: 6000}}
	if got := file.InternalAddress(); got != "10.1.0.10:7720" {
		t.Errorf("internal address: %s", got)
	}
	if got := file.AgentAddress(); got != "10.1.0.10:7721" {
		t.Errorf("agent address: %s", got)
	}
	if got := file.SeedAddresses(); !slices.Equal(got, []string{"10.1.0.11:7720", "10.1.0.12:7720"}) {
		t.Errorf("seeds: %v", got)
	}
	if file.InnerPortRange = []int{7720, 7720}; file.AgentAddress() != "10.1.0.10:7720" {
		t.Errorf("agent address with a range of one port: %s", file.AgentAddress())
	}
	if long, short := file.LeaseDuration(time.Minute), file.LeaseDuration(time.Second); long != 6*time.Second || short != time.Second {
		t.Errorf("leases: %v, %v", long, short)
	}
	for _, test := range []struct {
		dataDir    string
		lossCounts bool
		want       bool
	}{{"/data", true, true}, {"/data", false, false}, {"", true, false}} {
		file.DataDir, file.LossCounts = test.dataDir, test.lossCounts
		if file.HoldsState() != test.want {
			t.Errorf("%+v: holds state %v", test, !test.want)
		}
	}
}
