package clusterconfig

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
)

// Tenant is a customer of the operators. Its requests carry one of its API keys, and
// its resource usage is limited.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	// Share is the guaranteed rate, in jobs per second, at which the tenant is
	// served when the cluster is at capacity; 0: no rate was agreed.
	Share float64 `json:"share"`
	// RatePerS is the number of requests per second that the tenant may make at
	// gateways, and Burst the number that it may make at once beyond that. A rate of 0
	// means no limit.
	RatePerS float64 `json:"ratePerS,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
	// UpperLimit bounds the resources of the tenant's runs on all runners together.
	UpperLimit UpperLimit `json:"upperLimit"`
}

// UpperLimit bounds each type of resource; 0 means no limit.
type UpperLimit struct {
	CPUUnits int64 `json:"cpuUnits"` // millicores
	MemoryMB int64 `json:"memMb"`
	GPUs     int   `json:"gpus"`
}

// tenantProblems returns the problems within and between tenants. Keys are secret, so
// a problem identifies a key by its index only.
func tenantProblems(tenants []Tenant) []string {
	var problems []string
	names, keyOwners := map[string]bool{}, map[string]string{}
	for i, tenant := range tenants {
		report := func(field, why string) {
			problems = append(problems, fmt.Sprintf("tenantList[%d].%s: %s", i, field, why))
		}
		if tenant.Name == "" {
			report("name", "missing")
		}
		if names[tenant.Name] {
			report("name", fmt.Sprintf("%q stands twice", tenant.Name))
		}
		names[tenant.Name] = true
		for k, key := range tenant.APIKeys {
			if key == "" {
				report(fmt.Sprintf("apiKeys[%d]", k), "empty")
				continue
			}
			if owner, taken := keyOwners[key]; taken && owner != tenant.Name {
				report(fmt.Sprintf("apiKeys[%d]", k), fmt.Sprintf("also a key of %q", owner))
			}
			keyOwners[key] = tenant.Name
		}
		if tenant.Share < 0 {
			report("share", "below 0")
		}
		if tenant.RatePerS < 0 {
			report("ratePerS", "below 0")
		}
		if tenant.Burst < 0 {
			report("burst", "below 0")
		}
		if limit := tenant.UpperLimit; limit.CPUUnits < 0 || limit.MemoryMB < 0 || limit.GPUs < 0 {
			report("upperLimit", "below 0")
		}
	}
	return problems
}

// Tenants returns the tenants in the order of the JSON text.
func (c *Config) Tenants() []Tenant { return c.tenants }

// RestoreTenants decodes the tenants of a stored configuration from Raw. It leaves the
// tenants unset if Raw can't be decoded; Parse would have rejected such a text.
func (c *Config) RestoreTenants() {
	var text struct {
		Tenants []Tenant `json:"tenantList"`
	}
	if json.Unmarshal(c.Raw, &text) == nil {
		c.tenants = text.Tenants
	}
}

// KeyTable finds the tenant of an API key. It is immutable and therefore safe for
// concurrent use. It is indexed by digests, so that the duration of a lookup does not
// reveal how much of a key was correct.
type KeyTable struct {
	tenants map[KeyDigest]string
}

// KeyDigest is the SHA-256 digest of an API key. It replaces the key where the key
// itself must not appear.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// NewKeyTable indexes the API keys of a configuration's tenants.
func NewKeyTable(config *Config) *KeyTable {
	table := &KeyTable{tenants: map[KeyDigest]string{}}
	for _, tenant := range config.tenants {
		for _, key := range tenant.APIKeys {
			table.tenants[DigestOf(key)] = tenant.Name
		}
	}
	return table
}

// Tenant returns the name of the tenant with the given key, and false if there is
// none.
func (t *KeyTable) Tenant(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	tenant, ok := t.tenants[DigestOf(key)]
	return tenant, ok
}
