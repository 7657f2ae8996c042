package state

import (
	"fmt"
	"reflect"
	"testing"
)

// replaceConfiguration is an operator's order: a configuration on a base. Mark tells two of
// the same version apart.
func replaceConfiguration(base, version int64, label string) *ReplaceConfiguration {
	raw := fmt.Sprintf(`{"configVersion":%d,"routeList":[{"name":"a%s","hostName":"h","pathPrefix":"/p/","timeoutMs":1000,"targetService":"s"}],"serviceList":[{"name":"s","guards":true}]}`, version, label)
	return &ReplaceConfiguration{BaseVersion: base, Raw: []byte(raw)}
}

// restored is a replica that takes the state from a snapshot.
func (f *fixture) restored() *fixture {
	f.t.Helper()
	s, err := DecodeSnapshot(f.store.EncodeSnapshot(), f.store.Limits)
	if err != nil {
		f.t.Fatal(err)
	}
	return &fixture{t: f.t, store: s, now: f.now}
}

// expect runs an order on a state and on a copy from its snapshot.
func (f *fixture) expect(what string, c *ReplaceConfiguration, code Code) {
	f.t.Helper()
	for from, at := range map[string]*fixture{"log": f, "snapshot": f.restored()} {
		if o := at.apply("replace", c); o.Code != code {
			f.t.Errorf("%s (state from the %s): %d %s, want %d", what, from, o.Code, o.Text, code)
		}
	}
}

func TestResentConfigurationIsAnsweredAsAtFirst(t *testing.T) {
	f := &fixture{t: t, store: New(Limits{})}
	first, second := replaceConfiguration(0, 2, ""), replaceConfiguration(2, 5, "")
	f.expect("the first", first, 200)
	f.expect("the second", second, 200)
	f.expect("the first again", first, 200)
	for i := range int64(500) {
		f.apply("replace", replaceConfiguration(5+i, 6+i, ""))
	}
	f.expect("the first after hundreds", first, 200)
	f.expect("the second after hundreds", second, 200)
	if f.store.Configuration.Version != 505 {
		t.Errorf("version %d in force", f.store.Configuration.Version)
	}
	f.expect("another under the same number", replaceConfiguration(2, 5, "x"), 412)
	f.expect("another number on the same base", replaceConfiguration(2, 6, ""), 412)
	f.expect("the same text on another base", replaceConfiguration(0, 5, ""), 412)
	f.expect("the same text on a base that was never in force", replaceConfiguration(3, 5, ""), 412)
	f.expect("the newest text on the newest version", replaceConfiguration(505, 505, ""), 400)
	f.expect("the newest on its base again", replaceConfiguration(504, 505, ""), 200)
	f.expect("an older number on the newest", replaceConfiguration(505, 400, "x"), 400)
	if len(f.store.ConfigurationHistory.Accepted) != 502 {
		t.Errorf("%d records for 502 changes", len(f.store.ConfigurationHistory.Accepted))
	}
}

func TestLostRaceIsRefusedEvenIfVersionIsNotAbove(t *testing.T) {
	f := &fixture{t: t, store: New(Limits{})}
	f.apply("replace", replaceConfiguration(0, 2, ""))
	f.apply("replace", replaceConfiguration(2, 9, ""))
	f.expect("a smaller number on a used base", replaceConfiguration(2, 7, ""), 412)
	f.expect("the same number on a used base", replaceConfiguration(2, 9, "x"), 412)
}

func TestForgottenConfigurationHasNoClearAnswer(t *testing.T) {
	f := &fixture{t: t, store: New(Limits{})}
	const changes = MaxAcceptedRecords + 10
	for i := range int64(changes) {
		f.apply("replace", replaceConfiguration(i, i+1, ""))
	}
	if n := len(f.store.ConfigurationHistory.Accepted); n != MaxAcceptedRecords {
		t.Fatalf("%d records", n)
	}
	f.expect("a forgotten one", replaceConfiguration(5, 6, ""), 504)
	f.expect("the newest forgotten one", replaceConfiguration(9, 10, ""), 504)
	f.expect("the oldest remembered one", replaceConfiguration(10, 11, ""), 200)
	f.expect("one that can't be a forgotten one", replaceConfiguration(5, 12, ""), 412)
}

func TestRefusedConfigurationIsNeverAcceptedLater(t *testing.T) {
	f := &fixture{t: t, store: New(Limits{})}
	f.apply("replace", replaceConfiguration(0, 2, ""))
	early := replaceConfiguration(5, 9, "")
	f.expect("an order on a version not in force", early, 412)
	f.apply("replace", replaceConfiguration(2, 5, ""))
	f.expect("its late copy", early, 412)
	f.expect("another order on that base", replaceConfiguration(5, 9, "x"), 200)
}

func TestConfigurationsOfAStateWithoutRecords(t *testing.T) {
	f := &fixture{t: t, store: New(Limits{})}
	f.apply("replace", replaceConfiguration(0, 2, ""))
	f.apply("replace", replaceConfiguration(2, 5, ""))
	f.store.ConfigurationHistory = ConfigurationHistory{}
	f.expect("the current one again", replaceConfiguration(2, 5, ""), 200)
	f.expect("an earlier one again", replaceConfiguration(0, 2, ""), 504)
	f.expect("the next", replaceConfiguration(5, 6, ""), 200)
	f.expect("the current one after the next", replaceConfiguration(2, 5, ""), 504)
}

// TestReplicasAgreeOnConfigurations applies the same orders from the log, and from a
// snapshot and the rest of the log: all answers and records are equal.
func TestReplicasAgreeOnConfigurations(t *testing.T) {
	var orders []*ReplaceConfiguration
	for i := range int64(40) {
		base := i - i%3
		orders = append(orders, replaceConfiguration(base, base+1+i%5, ""), replaceConfiguration(base, base+3, "x"), replaceConfiguration(base, base+1+i%5, ""))
	}
	whole := &fixture{t: t, store: New(Limits{})}
	var answers []Outcome
	for _, o := range orders {
		answers = append(answers, whole.apply("replace", o))
	}
	for cut := range orders {
		part := &fixture{t: t, store: New(Limits{})}
		for i, o := range orders {
			if i == cut {
				part = part.restored()
			}
			if got := part.apply("replace", o); got != answers[i] {
				t.Fatalf("snapshot before %d: order %d is answered %v, from the log %v", cut, i, got, answers[i])
			}
		}
		if !reflect.DeepEqual(part.store.ConfigurationHistory, whole.store.ConfigurationHistory) || !reflect.DeepEqual(part.store.Configuration, whole.store.Configuration) {
			t.Fatalf("snapshot before %d: records or configuration differ", cut)
		}
	}
}
