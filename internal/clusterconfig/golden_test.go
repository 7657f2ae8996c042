package clusterconfig

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/golden"
)

// filledState returns a configuration whose fields differ.
func filledState() Config {
	return Config{
		Version: 11,
		Routes: []Route{{Name: "route", HostName: "host", PathPrefix: "/path/", Kind: "kind", TimeoutMs: 21, TargetMs: 22, Priority: 23,
			TargetService: "service", MaxAttempts: 24, Stretch: 2.5, Public: true, Split: []SplitPart{{TargetService: "service", Share: 3.5}}}},
		Services: []Service{{Name: "service", EnforcesResources: true}},
		Limits:   Limits{MaxHeaderBytes: 31, MaxBodyBytes: 32, HeaderTimeoutMs: 33, IdleTimeoutMs: 34},
	}
}

// TestConfigurationText holds a configuration with all its keys, as operators
// send it, against the golden text.
func TestConfigurationText(t *testing.T) {
	text, err := json.Marshal(filledState())
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "configuration.json", string(text)+"\n")
	got, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	want := filledState()
	want.Raw = text
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("the text reads as\n%+v, want\n%+v", *got, want)
	}
}

// TestTenantText holds a tenant with all its keys, as operators send it, against the
// golden text.
func TestTenantText(t *testing.T) {
	want := Tenant{Name: "tenant", APIKeys: []string{"key-a", "key-b"}, Share: 2.25, UpperLimit: UpperLimit{CPUUnits: 41, MemoryMB: 42, GPUs: 43}}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "tenant.json", string(text)+"\n")
	config, err := Parse([]byte(`{"configVersion":1,"tenantList":[` + string(text) + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := config.Tenants(); len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("the text reads as\n%+v, want\n%+v", got, want)
	}
}

// TestStoredBytes holds a configuration as the state stores it against the
// golden bytes.
func TestStoredBytes(t *testing.T) {
	stored := filledState()
	stored.Raw = []byte("text")
	golden.Check(t, "stored.txt", golden.Codec{Encode: cbor.Marshal, Decode: cbor.Unmarshal}, []golden.Case{{Name: "configuration", Value: &stored}})
}
