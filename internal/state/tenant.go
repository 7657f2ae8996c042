package state

import "tealpond/internal/clusterconfig"

// Authenticate tells which tenant makes a call on a route, by the key that the call
// bears; false if it may not be made. Calls on public routes may be made by nobody
// known, whose tenant is empty, as all calls are where no tenants are configured.
func (s *Store) Authenticate(route *clusterconfig.Route, key string) (string, bool) {
	if len(s.Configuration.Tenants()) == 0 {
		return "", true
	}
	tenant, known := s.keyTable.Tenant(key)
	return tenant, known || route.Public
}

// JobTenant tells whose job it is.
type JobTenant struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	// BeyondShare: the tenant had submitted more than its share when it submitted
	// this job, which therefore comes after those of tenants within theirs.
	BeyondShare bool
}

// Tenant is the name of the tenant that submitted the job; empty for none.
func (j *Job) Tenant() string { return j.tenant.Tenant }

// BeyondShare reports whether the job was submitted beyond its tenant's share.
func (j *Job) BeyondShare() bool { return j.tenant.BeyondShare }

// VisibleTo reports whether a tenant may ask for the job and cancel it. The job belongs
// to its tenant and not to a key, since keys change while it runs. One that was
// submitted without a tenant is everybody's.
func (j *Job) VisibleTo(tenant string) bool { return j.Tenant() == "" || j.Tenant() == tenant }

// setTenant notes whose job it is.
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
