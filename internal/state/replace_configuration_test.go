package state

import (
	"fmt"
	"reflect"
	"testing"
)

// replaceConfiguration returns an operator's update that is based on a version. The label
// makes the texts of two updates with the same version differ.
func replaceConfiguration(base, version int64, label string) *ReplaceConfiguration {
	raw := fmt.Sprintf(`{"configVersion":%d,"routeList":[{"name":"a%s","hostName":"h","pathPrefix":"/p/",`+
		`"timeoutMs":1000,"targetService":"s"}],"serviceList":[{"name":"s","guards":true}]}`, version, label)
	return &ReplaceConfiguration{BaseVersion: base, Raw: []byte(raw)}
}

// expect applies an update to a state and to a copy restored from its snapshot, and checks
// the code of both outcomes.
func (f *fixture) expect(what string, c *ReplaceConfiguration, code Code) {
	f.t.Helper()
	for from, at := range map[string]*fixture{"log": f, "snapshot": f.restored()} {
		if o := at.apply(c); o.Code != code {
			f.t.Errorf("%s (state from the %s): outcome %d %s, want %d", what, from, o.Code, o.Text, code)
		}
	}
}

func TestResentConfigurationHasSameOutcome(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	first, second := replaceConfiguration(0, 2, ""), replaceConfiguration(2, 5, "")
	f.expect("the first", first, CodeOK)
	f.expect("the second", second, CodeOK)
	f.expect("the first resent", first, CodeOK)
	for i := range int64(500) {
		f.apply(replaceConfiguration(5+i, 6+i, ""))
	}
	f.expect("the first resent after 500 updates", first, CodeOK)
	f.expect("the second resent after 500 updates", second, CodeOK)
	if f.store.Configuration.Version != 505 {
		t.Errorf("version %d is in force, want 505", f.store.Configuration.Version)
	}
	f.expect("another text with the same version", replaceConfiguration(2, 5, "x"), CodePreconditionFailed)
	f.expect("another version on the same base", replaceConfiguration(2, 6, ""), CodePreconditionFailed)
	f.expect("the same text on another base", replaceConfiguration(0, 5, ""), CodePreconditionFailed)
	f.expect("the same text on a base that was never in force", replaceConfiguration(3, 5, ""), CodePreconditionFailed)
	f.expect("the newest text on the current version", replaceConfiguration(505, 505, ""), CodeInvalid)
	f.expect("the newest resent", replaceConfiguration(504, 505, ""), CodeOK)
	f.expect("an older version on the current one", replaceConfiguration(505, 400, "x"), CodeInvalid)
	if len(f.store.ConfigurationHistory.Accepted) != 502 {
		t.Errorf("%d records for 502 accepted updates", len(f.store.ConfigurationHistory.Accepted))
	}
}

// TestOutdatedBaseIsReportedBeforeInvalidVersion checks that an update on a used base has
// code CodePreconditionFailed even if its version is not above the current one.
func TestOutdatedBaseIsReportedBeforeInvalidVersion(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	f.apply(replaceConfiguration(0, 2, ""))
	f.apply(replaceConfiguration(2, 9, ""))
	f.expect("a lower version on a used base", replaceConfiguration(2, 7, ""), CodePreconditionFailed)
	f.expect("the same version on a used base", replaceConfiguration(2, 9, "x"), CodePreconditionFailed)
}

// TestUpdateOlderThanHistoryHasUnknownOutcome checks that a resent update without a record
// has code CodeUnknown, unless its version shows that it cannot have been accepted.
func TestUpdateOlderThanHistoryHasUnknownOutcome(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	const changes = MaxAcceptedRecords + 10
	for i := range int64(changes) {
		f.apply(replaceConfiguration(i, i+1, ""))
	}
	if n := len(f.store.ConfigurationHistory.Accepted); n != MaxAcceptedRecords {
		t.Fatalf("%d records, want MaxAcceptedRecords", n)
	}
	f.expect("one without a record", replaceConfiguration(5, 6, ""), CodeUnknown)
	f.expect("the newest without a record", replaceConfiguration(9, 10, ""), CodeUnknown)
	f.expect("the oldest with a record", replaceConfiguration(10, 11, ""), CodeOK)
	f.expect("one that cannot have been accepted", replaceConfiguration(5, 12, ""), CodePreconditionFailed)
}

func TestRefusedConfigurationIsNeverAcceptedLater(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	f.apply(replaceConfiguration(0, 2, ""))
	early := replaceConfiguration(5, 9, "")
	f.expect("an update based on a version not in force", early, CodePreconditionFailed)
	f.apply(replaceConfiguration(2, 5, ""))
	f.expect("a delayed copy of it", early, CodePreconditionFailed)
	f.expect("another update on that base", replaceConfiguration(5, 9, "x"), CodeOK)
}

// TestConfigurationUpdatesWithoutHistory checks the outcomes in a state that was saved
// before the history existed.
func TestConfigurationUpdatesWithoutHistory(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	f.apply(replaceConfiguration(0, 2, ""))
	f.apply(replaceConfiguration(2, 5, ""))
	f.store.ConfigurationHistory = ConfigurationHistory{}
	f.expect("the current one resent", replaceConfiguration(2, 5, ""), CodeOK)
	f.expect("an earlier one resent", replaceConfiguration(0, 2, ""), CodeUnknown)
	f.expect("the next", replaceConfiguration(5, 6, ""), CodeOK)
	f.expect("the previous one resent after the next", replaceConfiguration(2, 5, ""), CodeUnknown)
}

// TestReplicasAgreeOnConfigurations applies the same updates from the log alone, and from a
// snapshot followed by the rest of the log. All outcomes and records must be equal.
func TestReplicasAgreeOnConfigurations(t *testing.T) {
	var updates []*ReplaceConfiguration
	for i := range int64(40) {
		base := i - i%3
		updates = append(updates,
			replaceConfiguration(base, base+1+i%5, ""),
			replaceConfiguration(base, base+3, "x"),
			replaceConfiguration(base, base+1+i%5, ""))
	}
	whole := newEmptyFixture(t, Limits{})
	var answers []Outcome
	for _, o := range updates {
		answers = append(answers, whole.apply(o))
	}
	for cut := range updates {
		part := newEmptyFixture(t, Limits{})
		for i, o := range updates {
			if i == cut {
				part = part.restored()
			}
			if got := part.apply(o); got != answers[i] {
				t.Fatalf("snapshot before update %d: outcome of update %d is %v, from the log %v", cut, i, got, answers[i])
			}
		}
		if !reflect.DeepEqual(part.store.ConfigurationHistory, whole.store.ConfigurationHistory) ||
			!reflect.DeepEqual(part.store.Configuration, whole.store.Configuration) {
			t.Fatalf("snapshot before update %d: records or configuration differ", cut)
		}
	}
}

// TestConcurrentConfigurationUpdates checks that of two updates on the same base only the
// first is accepted.
func TestConcurrentConfigurationUpdates(t *testing.T) {
	f := newFixture(t)
	x, y := []byte(fmt.Sprintf(testConfiguration, 3)), []byte(fmt.Sprintf(testConfiguration, 4))
	for _, c := range []struct {
		base int64
		raw  []byte
		want Code
	}{
		{1, x, CodeOK},
		{1, y, CodePreconditionFailed},
		{1, x, CodeOK},
		{3, []byte(fmt.Sprintf(testConfiguration, 2)), CodeInvalid},
		{3, y, CodeOK},
	} {
		if o := f.apply(&ReplaceConfiguration{BaseVersion: c.base, Raw: c.raw}); o.Code != c.want {
			t.Errorf("base %d: code %d, want %d", c.base, o.Code, c.want)
		}
	}
}
