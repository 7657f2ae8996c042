package clusterconfig

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
)

// Tenant is a customer of the operators: its requests bear one of its keys, and what
// it may use is bounded.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	// Share is the number of jobs a second that the tenant is served once
	// everything is full; 0: none was agreed.
	Share float64 `json:"share"`
	// RatePerS is the number of requests a second that the tenant may make at gateways,
	// and Burst what it may make above that at once; a rate of 0: no limit.
	RatePerS float64 `json:"ratePerS,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
	// UpperLimit bounds what the tenant has running on all runners together.
	UpperLimit UpperLimit `json:"upperLimit"`
}

// UpperLimit is an amount of resources; 0: that kind has no limit.
type UpperLimit struct {
	CPUUnits int64 `json:"cpuUnits"` // in thousandths of a core
	MemoryMB int64 `json:"memMb"`
	GPUs     int   `json:"gpus"`
}

// tenantProblems lists the contradictions between tenants. Keys are secret: a
// problem names a key by its place only.
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

// Tenants are the tenants in the order of the text.
func (c *Config) Tenants() []Tenant { return c.tenants }

// RestoreTenants reads the tenants of a configuration that was stored from its text
// again. A text that can't be read has none: Parse would not have accepted it.
func (c *Config) RestoreTenants() {
	var text struct {
		Tenants []Tenant `json:"tenantList"`
	}
	if json.Unmarshal(c.Raw, &text) == nil {
		c.tenants = text.Tenants
	}
}

// KeyTable finds the tenant of a key. It is safe for concurrent use, since it never
// changes. It holds digests of the keys: how long a search takes tells nothing of
// how much of a key was right.
type KeyTable struct {
	tenants map[KeyDigest]string
}

// KeyDigest stands for a key where the key itself must not.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// NewKeyTable indexes the keys of a configuration's tenants.
func NewKeyTable(config *Config) *KeyTable {
	table := &KeyTable{tenants: map[KeyDigest]string{}}
	for _, tenant := range config.tenants {
		for _, key := range tenant.APIKeys {
			table.tenants[DigestOf(key)] = tenant.Name
		}
	}
	return table
}

// Tenant returns the name of the tenant that has a key; false if there is none.
func (t *KeyTable) Tenant(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	tenant, ok := t.tenants[DigestOf(key)]
	return tenant, ok
}
