package state

import "tealpond/internal/clusterconfig"

// Authenticate returns the tenant that an API key belongs to, and whether a call with
// that key is allowed on a route. On public routes calls without a known key are allowed
// and have an empty tenant. If no tenants are configured, all calls are allowed and have
// an empty tenant.
func (s *Store) Authenticate(route *clusterconfig.Route, key string) (string, bool) {
	if len(s.Configuration.Tenants()) == 0 {
		return "", true
	}
	tenant, known := s.keyTable.Tenant(key)
	return tenant, known || route.Public
}

// JobTenant is the tenant that a job belongs to.
type JobTenant struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	// BeyondShare is set if the tenant had exceeded its share when it submitted this job.
	// The job is then scheduled after those of tenants within their share.
	BeyondShare bool
}

// Tenant returns the name of the tenant that submitted the job, or an empty string.
func (j *Job) Tenant() string { return j.tenant.Tenant }

// BeyondShare reports whether the job was submitted beyond its tenant's share.
func (j *Job) BeyondShare() bool { return j.tenant.BeyondShare }

// MayAccess reports whether a caller that Authenticate allowed may query and cancel a job. If no
// tenants are configured, no caller has a key, and each may access all jobs.
func (s *Store) MayAccess(job *Job, tenant string) bool {
	return len(s.Configuration.Tenants()) == 0 || job.VisibleTo(tenant)
}

// VisibleTo reports whether a tenant may query and cancel the job. A job belongs to a
// tenant rather than to an API key, since keys may change while it runs. A job that was
// submitted without a tenant is visible to all.
func (j *Job) VisibleTo(tenant string) bool { return j.Tenant() == "" || j.Tenant() == tenant }

// setTenant records the tenant of a job.
func (s *Store) setTenant(job *Job, tenant JobTenant) {
	job.tenant = tenant
	if tenant.Tenant == "" {
		return
	}
	if s.JobTenants == nil {
		s.JobTenants = map[string]JobTenant{}
	}
	s.JobTenants[job.ID] = tenant
}
