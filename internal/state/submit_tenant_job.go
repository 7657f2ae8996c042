package state

// SubmitTenantJob is SubmitJob for a caller whose key the leader has checked. The key
// itself stays out of the log.
type SubmitTenantJob struct {
	_      struct{} `cbor:",toarray"`
	Submit SubmitJob
	Tenant string // empty on a public route
	// ConfigVersion is the configuration in which the leader found the key.
	ConfigVersion int64
	BeyondShare   bool // see JobTenant
}

// textOtherConfiguration is the reason of an outcome CodeConflict: a configuration
// came into force after the leader checked the caller's key, which it must do again.
const textOtherConfiguration = "another configuration is in force"

// Apply accepts the job as SubmitJob does, if the configuration is still the one by
// which the caller was let in. The outcome is CodeConflict if it isn't, and
// CodeForbidden if the ID is that of another tenant's job.
func (c *SubmitTenantJob) Apply(s *Store) Outcome {
	if job := s.Jobs[c.Submit.ID]; job != nil && !job.VisibleTo(c.Tenant) {
		return Outcome{Code: CodeForbidden, Text: "another tenant's job"}
	}
	if c.ConfigVersion != s.Configuration.Version {
		return Outcome{Code: CodeConflict, Text: textOtherConfiguration}
	}
	return c.Submit.accept(s, JobTenant{Tenant: c.Tenant, BeyondShare: c.BeyondShare})
}
