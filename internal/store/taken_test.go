package store

import (
	"fmt"
	"reflect"
	"testing"
)

// order is an operator's order: a configuration on a base. Mark tells two of
// the same version apart.
func order(base, version int64, mark string) *Replace {
	raw := fmt.Sprintf(`{"configVersion":%d,"routeList":[{"name":"a%s","hostName":"h","pathPrefix":"/p/","timeoutMs":1000,"targetService":"s"}],"serviceList":[{"name":"s","guards":true}]}`, version, mark)
	return &Replace{Base: base, Raw: []byte(raw)}
}

// copyOf is a replica that takes the state from a snapshot.
func (w *world) copyOf() *world {
	w.t.Helper()
	s, err := Load(w.s.Save(), w.s.Limits)
	if err != nil {
		w.t.Fatal(err)
	}
	return &world{t: w.t, s: s, now: w.now}
}

// wants runs an order on a state and on a copy from its snapshot.
func (w *world) wants(what string, c *Replace, code int) {
	w.t.Helper()
	for from, at := range map[string]*world{"log": w, "snapshot": w.copyOf()} {
		if o := at.run("replace", c); o.Code != code {
			w.t.Errorf("%s (state from the %s): %d %s, want %d", what, from, o.Code, o.Text, code)
		}
	}
}

func TestOrderSentAgainAfterOtherChanges(t *testing.T) {
	w := &world{t: t, s: New(Limits{})}
	first, second := order(0, 2, ""), order(2, 5, "")
	w.wants("the first", first, 200)
	w.wants("the second", second, 200)
	w.wants("the first again", first, 200)
	for i := range int64(500) {
		w.run("replace", order(5+i, 6+i, ""))
	}
	w.wants("the first after hundreds", first, 200)
	w.wants("the second after hundreds", second, 200)
	if w.s.Desired.Version != 505 {
		t.Errorf("version %d in force", w.s.Desired.Version)
	}
	w.wants("another under the same number", order(2, 5, "x"), 412)
	w.wants("another number on the same base", order(2, 6, ""), 412)
	w.wants("the same text on another base", order(0, 5, ""), 412)
	w.wants("the same text on a base that was never in force", order(3, 5, ""), 412)
	w.wants("the newest text on the newest version", order(505, 505, ""), 400)
	w.wants("the newest on its base again", order(504, 505, ""), 200)
	w.wants("an older number on the newest", order(505, 400, "x"), 400)
	if len(w.s.Taken.Accepted) != 502 {
		t.Errorf("%d records for 502 changes", len(w.s.Taken.Accepted))
	}
}

func TestLostRaceIsARefusalEvenIfTheNumberIsNotAbove(t *testing.T) {
	w := &world{t: t, s: New(Limits{})}
	w.run("replace", order(0, 2, ""))
	w.run("replace", order(2, 9, ""))
	w.wants("a smaller number on a used base", order(2, 7, ""), 412)
	w.wants("the same number on a used base", order(2, 9, "x"), 412)
}

func TestForgottenOrderHasNoClearAnswer(t *testing.T) {
	w := &world{t: t, s: New(Limits{})}
	const changes = TakenKept + 10
	for i := range int64(changes) {
		w.run("replace", order(i, i+1, ""))
	}
	if n := len(w.s.Taken.Accepted); n != TakenKept {
		t.Fatalf("%d records", n)
	}
	w.wants("a forgotten one", order(5, 6, ""), 504)
	w.wants("the newest forgotten one", order(9, 10, ""), 504)
	w.wants("the oldest remembered one", order(10, 11, ""), 200)
	w.wants("one that can't be a forgotten one", order(5, 12, ""), 412)
}

func TestRefusedOrderIsNeverAcceptedLater(t *testing.T) {
	w := &world{t: t, s: New(Limits{})}
	w.run("replace", order(0, 2, ""))
	early := order(5, 9, "")
	w.wants("an order on a version not in force", early, 412)
	w.run("replace", order(2, 5, ""))
	w.wants("its late copy", early, 412)
	w.wants("another order on that base", order(5, 9, "x"), 200)
}

func TestStateSavedBeforeRecords(t *testing.T) {
	w := &world{t: t, s: New(Limits{})}
	w.run("replace", order(0, 2, ""))
	w.run("replace", order(2, 5, ""))
	w.s.Taken = TakenLog{}
	w.wants("the current one again", order(2, 5, ""), 200)
	w.wants("an earlier one again", order(0, 2, ""), 504)
	w.wants("the next", order(5, 6, ""), 200)
	w.wants("the current one after the next", order(2, 5, ""), 504)
}

// TestReplicasAgreeOnOrders applies the same orders from the log, and from a
// snapshot and the rest of the log: all answers and records are equal.
func TestReplicasAgreeOnOrders(t *testing.T) {
	var orders []*Replace
	for i := range int64(40) {
		base := i - i%3
		orders = append(orders, order(base, base+1+i%5, ""), order(base, base+3, "x"), order(base, base+1+i%5, ""))
	}
	whole := &world{t: t, s: New(Limits{})}
	var answers []Outcome
	for _, o := range orders {
		answers = append(answers, whole.run("replace", o))
	}
	for cut := range orders {
		part := &world{t: t, s: New(Limits{})}
		for i, o := range orders {
			if i == cut {
				part = part.copyOf()
			}
			if got := part.run("replace", o); got != answers[i] {
				t.Fatalf("snapshot before %d: order %d is answered %v, from the log %v", cut, i, got, answers[i])
			}
		}
		if !reflect.DeepEqual(part.s.Taken, whole.s.Taken) || !reflect.DeepEqual(part.s.Desired, whole.s.Desired) {
			t.Fatalf("snapshot before %d: records or configuration differ", cut)
		}
	}
}
