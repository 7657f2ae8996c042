package clusterconfig

import (
	"slices"
	"strings"
	"testing"
)

// configWithTenants returns a configuration with the given tenant list as JSON.
func configWithTenants(tenants string) []byte {
	return []byte(`{"configVersion":7,"routeList":[],"serviceList":[],"tenantList":` + tenants + `}`)
}

// TestParseChecksTenants checks that an error names each invalid field of a tenant with
// its index, and that it reveals no key.
func TestParseChecksTenants(t *testing.T) {
	for name, c := range map[string]struct{ tenants, problem string }{
		"two tenants":        {`[{"name":"a","apiKeys":["secret-1","secret-2"],"share":2.5,"upperLimit":{"cpuUnits":5}},{"name":"b"}]`, ""},
		"duplicate key":      {`[{"name":"a","apiKeys":["secret-1","secret-1"]}]`, ""},
		"shared key":         {`[{"name":"a","apiKeys":["secret-1"]},{"name":"b","apiKeys":["x","secret-1"]}]`, `tenantList[1].apiKeys[1]: also a key of "a"`},
		"empty key":          {`[{"name":"a","apiKeys":[""]}]`, "tenantList[0].apiKeys[0]: empty"},
		"no name":            {`[{"apiKeys":["secret-1"]}]`, "tenantList[0].name: missing"},
		"duplicate name":     {`[{"name":"a"},{"name":"a"}]`, `tenantList[1].name: "a" stands twice`},
		"negative share":     {`[{"name":"a","share":-1}]`, "tenantList[0].share: below 0"},
		"negative limit":     {`[{"name":"a","upperLimit":{"memMb":-1}}]`, "tenantList[0].upperLimit: below 0"},
		"keys not a list":    {`[{"name":"a","apiKeys":"secret-1"}]`, "cannot be read whole"},
		"tenants not a list": {`{"name":"a"}`, "cannot be read whole"},
		"empty list":         {`[]`, ""},
		"unknown fields":     {`[{"name":"a","priority":3,"burst":4}]`, ""},
		"null list":          {`null`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(configWithTenants(c.tenants))
			switch {
			case err == nil && c.problem != "":
				t.Errorf("accepted, want %q", c.problem)
			case err != nil && (c.problem == "" || !strings.Contains(err.Error(), c.problem)):
				t.Errorf("%v, want %q", err, c.problem)
			case err != nil && strings.Contains(err.Error(), "secret"):
				t.Errorf("the error reveals a key: %v", err)
			}
		})
	}
}

// TestSchemaChecksTenants checks that the schema rejects values of a wrong type or sign,
// and that its errors reveal no key.
func TestSchemaChecksTenants(t *testing.T) {
	for name, c := range map[string]struct {
		tenants string
		valid   bool
	}{
		"valid":            {`[{"name":"a","apiKeys":["secret"],"share":2.5,"upperLimit":{"cpuUnits":5,"memMb":0,"gpus":1}}]`, true},
		"limit below 0":    {`[{"name":"a","apiKeys":["secret"],"upperLimit":{"gpus":-1}}]`, false},
		"fractional limit": {`[{"name":"a","apiKeys":["secret"],"upperLimit":{"cpuUnits":1.5}}]`, false},
		"share below 0":    {`[{"name":"a","apiKeys":["secret"],"share":-0.5}]`, false},
		"empty key":        {`[{"name":"a","apiKeys":[""]}]`, false},
		"empty name":       {`[{"name":"","apiKeys":["secret"]}]`, false},
		"keys not a list":  {`[{"name":"a","apiKeys":7}]`, false},
	} {
		err := Validate(configWithTenants(c.tenants))
		if (err == nil) != c.valid {
			t.Errorf("%s: %v", name, err)
		}
		if err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: the error reveals a key: %v", name, err)
		}
	}
}

// TestKeyTable checks that each key finds its tenant and that any other text finds none.
func TestKeyTable(t *testing.T) {
	config, err := Parse(configWithTenants(`[{"name":"a","apiKeys":["1","2"]},{"name":"b","apiKeys":["3"]},{"name":"c"}]`))
	if err != nil {
		t.Fatal(err)
	}
	restored := Config{Raw: config.Raw}
	restored.RestoreTenants()
	for _, from := range []*Config{config, &restored} {
		table := NewKeyTable(from)
		for key, want := range map[string]string{"1": "a", "2": "a", "3": "b", "": "", "4": "", "1 ": ""} { //nolint:gocritic // a key with a trailing space is a different key
			if tenant, ok := table.Tenant(key); tenant != want || ok != (want != "") {
				t.Errorf("key %q: tenant %q, %v, want %q", key, tenant, ok, want)
			}
		}
	}
	if !slices.EqualFunc(config.Tenants(), restored.Tenants(), func(a, b Tenant) bool { return a.Name == b.Name }) {
		t.Errorf("restored %v, want %v", restored.Tenants(), config.Tenants())
	}
}
