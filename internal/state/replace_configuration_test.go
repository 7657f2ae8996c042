package state

import (
	"fmt"
	"reflect"
	"testing"
)

// replaceConfiguration is an operator's update, based on a version. The label makes
// the texts of two with the same version differ.
func replaceConfiguration(base, version int64, label string) *ReplaceConfiguration {
	raw := fmt.Sprintf(`{"configVersion":%d,"routeList":[{"name":"a%s","hostName":"h","pathPrefix":"/p/",`+
		`"timeoutMs":1000,"targetService":"s"}],"serviceList":[{"name":"s","guards":true}]}`, version, label)
	return &ReplaceConfiguration{BaseVersion: base, Raw: []byte(raw)}
}

// expect applies an update to a state and to a copy from its snapshot.
func (f *fixture) expect(what string, c *ReplaceConfiguration, code Code) {
	f.t.Helper()
	for from, at := range map[string]*fixture{"log": f, "snapshot": f.restored()} {
		if o := at.apply(c); o.Code != code {
			f.t.Errorf("%s (state from the %s): %d %s, want %d", what, from, o.Code, o.Text, code)
		}
	}
}

func TestResentConfigurationIsAnsweredAsAtFirst(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	first, second := replaceConfiguration(0, 2, ""), replaceConfiguration(2, 5, "")
	f.expect("the first", first, CodeOK)
	f.expect("the second", second, CodeOK)
	f.expect("the first again", first, CodeOK)
	for i := range int64(500) {
		f.apply(replaceConfiguration(5+i, 6+i, ""))
	}
	f.expect("the first after hundreds", first, CodeOK)
	f.expect("the second after hundreds", second, CodeOK)
	if f.store.Configuration.Version != 505 {
		t.Errorf("version %d in force", f.store.Configuration.Version)
	}
	f.expect("another under the same number", replaceConfiguration(2, 5, "x"), CodePreconditionFailed)
	f.expect("another number on the same base", replaceConfiguration(2, 6, ""), CodePreconditionFailed)
	f.expect("the same text on another base", replaceConfiguration(0, 5, ""), CodePreconditionFailed)
	f.expect("the same text on a base that was never in force", replaceConfiguration(3, 5, ""), CodePreconditionFailed)
	f.expect("the newest text on the newest version", replaceConfiguration(505, 505, ""), CodeInvalid)
	f.expect("the newest on its base again", replaceConfiguration(504, 505, ""), CodeOK)
	f.expect("an older number on the newest", replaceConfiguration(505, 400, "x"), CodeInvalid)
	if len(f.store.ConfigurationHistory.Accepted) != 502 {
		t.Errorf("%d records for 502 changes", len(f.store.ConfigurationHistory.Accepted))
	}
}

func TestLostRaceIsRefusedEvenIfVersionIsNotAbove(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	f.apply(replaceConfiguration(0, 2, ""))
	f.apply(replaceConfiguration(2, 9, ""))
	f.expect("a smaller number on a used base", replaceConfiguration(2, 7, ""), CodePreconditionFailed)
	f.expect("the same number on a used base", replaceConfiguration(2, 9, "x"), CodePreconditionFailed)
}

func TestForgottenConfigurationHasNoClearAnswer(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	const changes = MaxAcceptedRecords + 10
	for i := range int64(changes) {
		f.apply(replaceConfiguration(i, i+1, ""))
	}
	if n := len(f.store.ConfigurationHistory.Accepted); n != MaxAcceptedRecords {
		t.Fatalf("%d records", n)
	}
	f.expect("a forgotten one", replaceConfiguration(5, 6, ""), CodeUnknown)
	f.expect("the newest forgotten one", replaceConfiguration(9, 10, ""), CodeUnknown)
	f.expect("the oldest remembered one", replaceConfiguration(10, 11, ""), CodeOK)
	f.expect("one that can't be a forgotten one", replaceConfiguration(5, 12, ""), CodePreconditionFailed)
}

func TestRefusedConfigurationIsNeverAcceptedLater(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	f.apply(replaceConfiguration(0, 2, ""))
	early := replaceConfiguration(5, 9, "")
	f.expect("an update based on a version not in force", early, CodePreconditionFailed)
	f.apply(replaceConfiguration(2, 5, ""))
	f.expect("its late copy", early, CodePreconditionFailed)
	f.expect("another update on that base", replaceConfiguration(5, 9, "x"), CodeOK)
}

func TestConfigurationsOfAStateWithoutRecords(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	f.apply(replaceConfiguration(0, 2, ""))
	f.apply(replaceConfiguration(2, 5, ""))
	f.store.ConfigurationHistory = ConfigurationHistory{}
	f.expect("the current one again", replaceConfiguration(2, 5, ""), CodeOK)
	f.expect("an earlier one again", replaceConfiguration(0, 2, ""), CodeUnknown)
	f.expect("the next", replaceConfiguration(5, 6, ""), CodeOK)
	f.expect("the current one after the next", replaceConfiguration(2, 5, ""), CodeUnknown)
}

// TestReplicasAgreeOnConfigurations applies the same updates from the log, and from a
// snapshot and the rest of the log: all answers and records are equal.
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
				t.Fatalf("snapshot before %d: update %d is answered %v, from the log %v", cut, i, got, answers[i])
			}
		}
		if !reflect.DeepEqual(part.store.ConfigurationHistory, whole.store.ConfigurationHistory) ||
			!reflect.DeepEqual(part.store.Configuration, whole.store.Configuration) {
			t.Fatalf("snapshot before %d: records or configuration differ", cut)
		}
	}
}

func TestRaceOfConfigurations(t *testing.T) {
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
			t.Errorf("base %d: %d, want %d", c.base, o.Code, c.want)
		}
	}
}
