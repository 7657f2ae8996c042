package state

// SubmitTenantJob is SubmitJob for a caller whose key the leader has checked. The key itself
// is not written to the log.
type SubmitTenantJob struct {
	_      struct{} `cbor:",toarray"`
	Submit SubmitJob
	Tenant string // empty on a public route
	// ConfigVersion is the version of the configuration by which the leader checked the key.
	ConfigVersion int64
	BeyondShare   bool // see JobTenant
}

// textConfigurationChanged is the reason for CodeConflict if another configuration came into
// force after the leader checked the caller's key. The leader must check it again.
const textConfigurationChanged = "another configuration is in force"

// Apply accepts the job as SubmitJob does, if the configuration by which the caller was
// authenticated is still in force. The outcome is CodeConflict if it is not, and
// CodeForbidden if the ID belongs to another tenant's job.
func (c *SubmitTenantJob) Apply(s *Store) Outcome {
	if job := s.Jobs[c.Submit.ID]; job != nil && !job.VisibleTo(c.Tenant) {
		return Outcome{Code: CodeForbidden, Text: "another tenant's job"}
	}
	if c.ConfigVersion != s.Configuration.Version {
		return Outcome{Code: CodeConflict, Text: textConfigurationChanged}
	}
	return c.Submit.accept(s, JobTenant{Tenant: c.Tenant, BeyondShare: c.BeyondShare})
}
