package state

import "testing"

// TestChangesAndReplacementsShareOneHistory checks that of two updates with the same base,
// of either kind, the first in the log is accepted, and that a resent update has the same
// outcome again.
func TestChangesAndReplacementsShareOneHistory(t *testing.T) {
	f := newFixture(t)
	change := func(version string) *ChangeConfiguration {
		return &ChangeConfiguration{BaseVersion: 1, Raw: []byte(`{"configVersion":` + version + `,"upsert":{"routeList":[` +
			`{"name":"b","hostName":"h","pathPrefix":"/b/","timeoutMs":1000,"targetService":"s"}]}}`)}
	}
	replace := &ReplaceConfiguration{BaseVersion: 1, Raw: []byte(`{"configVersion":6,"routeList":[],"serviceList":[]}`)}
	for _, step := range []struct {
		name    string
		command Command
		code    Code
	}{
		{"a version that isn't above", change("1"), CodeInvalid},
		{"a malformed change", &ChangeConfiguration{BaseVersion: 1, Raw: []byte(`{`)}, CodeInvalid},
		{"an unknown service", &ChangeConfiguration{BaseVersion: 1, Raw: []byte(`{"configVersion":5,"remove":{"serviceList":["s"]}}`)}, CodeInvalid},
		{"the change", change("5"), CodeOK},
		{"the change resent", change("5"), CodeOK},
		{"another change on the same base", change("6"), CodePreconditionFailed},
		{"a replacement on the same base", replace, CodePreconditionFailed},
		{"a change on a future version", &ChangeConfiguration{BaseVersion: 9, Raw: []byte(`{"configVersion":10}`)}, CodePreconditionFailed},
	} {
		if outcome := f.apply(step.command); outcome.Code != step.code {
			t.Errorf("%s: outcome %v, want code %d", step.name, outcome, step.code)
		}
	}
	if config := f.store.Configuration; config.Version != 5 || len(config.Routes) != 2 {
		t.Errorf("version %d with %d routes is in force, want version 5 with 2", config.Version, len(config.Routes))
	}
	if route, _ := f.restored().store.RouteTable().Find("h", "/b/x"); route == nil {
		t.Error("the new route is missing after a restore from a snapshot")
	}
}
