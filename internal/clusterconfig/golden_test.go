package clusterconfig

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/golden"
)

// filledConfig returns a configuration in which each field has a distinct value.
func filledConfig() Config {
	return Config{
		Version: 11,
		Routes: []Route{{Name: "route", HostName: "host", PathPrefix: "/path/", Kind: "kind", TimeoutMs: 21, TargetMs: 22, Priority: 23,
			TargetService: "service", MaxAttempts: 24, Stretch: 2.5, Public: true, Split: []SplitPart{{TargetService: "service", Share: 3.5}}}},
		Services: []Service{{Name: "service", EnforcesResources: true}},
		Limits:   Limits{MaxHeaderBytes: 31, MaxBodyBytes: 32, HeaderTimeoutMs: 33, IdleTimeoutMs: 34},
	}
}

// TestConfigurationText compares the JSON text of a configuration with all its keys,
// as operators submit it, with the golden file.
func TestConfigurationText(t *testing.T) {
	text, err := json.Marshal(filledConfig())
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "configuration.json", string(text)+"\n")
	got, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	want := filledConfig()
	want.Raw = text
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("the text was decoded as\n%+v, want\n%+v", *got, want)
	}
}

// TestTenantText compares the JSON text of a tenant with all its keys, as operators
// submit it, with the golden file.
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
		t.Errorf("the text was decoded as\n%+v, want\n%+v", got, want)
	}
}

// TestStoredBytes compares the stored encoding of a configuration with the golden
// file.
func TestStoredBytes(t *testing.T) {
	stored := filledConfig()
	stored.Raw = []byte("text")
	golden.Check(t, "stored.txt", golden.Codec{Encode: cbor.Marshal, Decode: cbor.Unmarshal}, []golden.Case{{Name: "configuration", Value: &stored}})
}
