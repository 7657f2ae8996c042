package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestTenantJobNeedsTheConfigurationItWasAdmittedBy: a key that was taken away between
// the leader's check and the command doesn't bring a job in.
func TestTenantJobNeedsTheConfigurationItWasAdmittedBy(t *testing.T) {
	f := newTenantFixture(t, Quota{})
	step := protocol.Step{TaskCount: 1}
	admittedBy := f.version
	f.configure(Quota{})
	late := &SubmitTenantJob{Tenant: "t", ConfigVersion: admittedBy, Submit: SubmitJob{Host: "h", Path: "/p/j", ID: "j", Job: protocol.Job{Steps: []protocol.Step{step}}}}
	if outcome := f.apply(late); outcome.Code != CodeConflict || f.store.Jobs["j"] != nil {
		t.Errorf("outcome %v, want a conflict and no job", outcome)
	}
	if outcome := f.submitAs("t", "j", step); outcome.Code != CodeOK {
		t.Errorf("outcome %v under the present configuration", outcome)
	}
	if outcome := f.submitAs("t", "j", step); outcome.Code != CodeOK {
		t.Errorf("outcome %v when sent again", outcome)
	}
	if outcome := f.submitAs("u", "j", step); outcome.Code != CodeForbidden {
		t.Errorf("outcome %v for another tenant's job", outcome)
	}
	if job := f.restored().store.Jobs["j"]; job.Tenant() != "t" {
		t.Errorf("after a snapshot it is the job of %q", job.Tenant())
	}
}

// TestSubmissionWithoutTenantNeedsPublicRoute: where tenants are configured, only a
// public route takes a job of nobody known. Each case has a store of its own, since a
// repeated submission of a known ID gets its first answer on any route.
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

// TestRepeatedSubmissionOnAClosedRoute: a job that a public route took is known; the
// same ID on a route that needs a tenant gets the first answer and adds nothing.
func TestRepeatedSubmissionOnAClosedRoute(t *testing.T) {
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

// TestAuthenticate: a key names its tenant; without one only public routes, and
// clusters without tenants, are open.
func TestAuthenticate(t *testing.T) {
	f := newTenantFixture(t, Quota{})
	closed, open := &f.store.Configuration.Routes[0], &f.store.Configuration.Routes[1]
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
		route := closed
		if c.public {
			route = open
		}
		if tenant, ok := f.store.Authenticate(route, c.key); tenant != c.tenant || ok != c.admitted {
			t.Errorf("%s: %q %v, want %q %v", c.name, tenant, ok, c.tenant, c.admitted)
		}
	}
	if tenant, ok := newFixture(t).store.Authenticate(closed, "anything"); tenant != "" || !ok {
		t.Errorf("without tenants: %q %v, want nobody, admitted", tenant, ok)
	}
}
