package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestTenantJobIsRefusedAfterConfigurationChange checks that a job is refused if the
// configuration changed between the leader's check of the key and the command, since the
// key may have been revoked.
func TestTenantJobIsRefusedAfterConfigurationChange(t *testing.T) {
	f := newTenantFixture(t, Quota{})
	step := protocol.Step{TaskCount: 1}
	checkedVersion := f.version
	f.configure(Quota{})
	late := &SubmitTenantJob{Tenant: "t", ConfigVersion: checkedVersion, Submit: SubmitJob{Host: "h", Path: "/p/j", ID: "j", Job: protocol.Job{Steps: []protocol.Step{step}}}}
	if outcome := f.apply(late); outcome.Code != CodeConflict || f.store.Jobs["j"] != nil {
		t.Errorf("outcome %v, want a conflict and no job", outcome)
	}
	if outcome := f.submitAs("t", "j", step); outcome.Code != CodeOK {
		t.Errorf("outcome %v under the current configuration, want CodeOK", outcome)
	}
	if outcome := f.submitAs("t", "j", step); outcome.Code != CodeOK {
		t.Errorf("outcome %v of the repeated submission, want CodeOK", outcome)
	}
	if outcome := f.submitAs("u", "j", step); outcome.Code != CodeForbidden {
		t.Errorf("outcome %v for another tenant's job, want CodeForbidden", outcome)
	}
	if job := f.restored().store.Jobs["j"]; job.Tenant() != "t" {
		t.Errorf("after restoring a snapshot the job belongs to tenant %q, want \"t\"", job.Tenant())
	}
}

// TestSubmissionWithoutTenantNeedsPublicRoute checks that only public routes accept jobs
// without a tenant if tenants are configured. Each case has its own store, since a repeated
// submission of a known ID gets the answer of the first one on any route.
func TestSubmissionWithoutTenantNeedsPublicRoute(t *testing.T) {
	for _, c := range []struct {
		path     string
		want     Code
		accepted bool
	}{
		{"/p/", CodeConflict, false},
		{"/open/", CodeOK, true},
	} {
		f := newTenantFixture(t, Quota{})
		submit := &SubmitJob{Host: "h", Path: c.path + "j", ID: "j", Job: protocol.Job{Steps: []protocol.Step{{TaskCount: 1}}}}
		for _, attempt := range []string{"first", "repeated"} {
			if outcome := f.apply(submit); outcome.Code != c.want {
				t.Errorf("%s, %s: outcome %v, want code %d", c.path, attempt, outcome, c.want)
			}
		}
		if accepted := f.store.Jobs["j"] != nil; accepted != c.accepted {
			t.Errorf("%s: job in the store: %v, want %v", c.path, accepted, c.accepted)
		}
	}
}

// TestRepeatedSubmissionOnNonPublicRoute checks that a job that was accepted on a public route
// is known on all routes: the same ID on a route that needs a tenant gets the first answer
// and adds no job.
func TestRepeatedSubmissionOnNonPublicRoute(t *testing.T) {
	f := newTenantFixture(t, Quota{})
	job := protocol.Job{Steps: []protocol.Step{{TaskCount: 1}}}
	for _, path := range []string{"/open/j", "/p/j"} {
		if outcome := f.apply(&SubmitJob{Host: "h", Path: path, ID: "j", Job: job}); outcome.Code != CodeOK {
			t.Errorf("%s: outcome %v, want code %d", path, outcome, CodeOK)
		}
	}
	if len(f.store.Jobs) != 1 {
		t.Errorf("%d jobs, want 1", len(f.store.Jobs))
	}
}

// TestAuthenticate checks that a key identifies its tenant, and that callers without a known
// key are admitted only on public routes or if no tenants are configured.
func TestAuthenticate(t *testing.T) {
	f := newTenantFixture(t, Quota{})
	closedRoute, publicRoute := &f.store.Configuration.Routes[0], &f.store.Configuration.Routes[1]
	for _, c := range []struct {
		name, key, tenant string
		public, admitted  bool
	}{
		{"key", "key-t", "t", false, true},
		{"other key", "key-u", "u", false, true},
		{"unknown key", "key-x", "", false, false},
		{"no key", "", "", false, false},
		{"public", "", "", true, true},
		{"public, unknown key", "key-x", "", true, true},
		{"public, key", "key-t", "t", true, true},
	} {
		route := closedRoute
		if c.public {
			route = publicRoute
		}
		if tenant, ok := f.store.Authenticate(route, c.key); tenant != c.tenant || ok != c.admitted {
			t.Errorf("%s: %q %v, want %q %v", c.name, tenant, ok, c.tenant, c.admitted)
		}
	}
	if tenant, ok := newFixture(t).store.Authenticate(closedRoute, "anything"); tenant != "" || !ok {
		t.Errorf("without tenants: %q %v, want no tenant, admitted", tenant, ok)
	}
}
