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

// Tenant is the name of the tenant that submitted the job; empty for none.
func (j *Job) Tenant() string { return j.tenant }

// VisibleTo tells whether a tenant may ask for the job and cancel it. The job belongs
// to its tenant and not to a key, since keys change while it runs. One that was
// submitted without a tenant is everybody's.
func (j *Job) VisibleTo(tenant string) bool { return j.tenant == "" || j.tenant == tenant }

// setTenant notes whose job it is.
func (s *Store) setTenant(job *Job, tenant string) {
	job.tenant = tenant
	if tenant == "" {
		return
	}
	if s.JobTenants == nil {
		s.JobTenants = map[string]string{}
	}
	s.JobTenants[job.ID] = tenant
}
