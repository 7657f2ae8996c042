package registry

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// TestDeltasConvergeToTheFullList checks that a daemon has the table's list once it has applied
// the newest delta, whichever earlier deltas were lost, repeated or late, and that no change is
// sent twice.
func TestDeltasConvergeToTheFullList(t *testing.T) {
	for seed := range int64(50) {
		random := rand.New(rand.NewSource(seed))
		table, view := NewTable("e0"), NewView()
		var list []Runner
		var earlier []Delta
		for i := range 400 {
			list = changeAtRandom(random, list, i)
			table.Update(list)
			if random.Intn(3) == 0 {
				delta := deltaFor(table, view)
				earlier = append(earlier, delta)
				view.Apply(delta)
				requireSameRunners(t, view, list)
				if again := deltaFor(table, view); len(again.Runners)+len(again.Removed) != 0 || again.Whole {
					t.Fatalf("seed %d: sent again: %+v", seed, again)
				}
			}
			if len(earlier) > 0 && random.Intn(4) == 0 {
				view.Apply(earlier[random.Intn(len(earlier))])
			}
			if random.Intn(100) == 0 {
				// Another daemon becomes the reader of the list; it may start from an older copy.
				table = NewTable(fmt.Sprint("e", i+1))
				if random.Intn(2) == 0 {
					table.Update(view.Runners())
				}
				table.Update(list)
			}
		}
		view.Apply(deltaFor(table, view))
		requireSameRunners(t, view, list)
	}
}

// deltaFor returns the changes that a copy lacks, for daemons of zone z.
func deltaFor(table *Table, view *View) Delta {
	return table.Since(view.Position(), "z", AllZones)
}

// TestHealthIsSentInItsZoneOnly checks that daemons get changes of health only for runners of
// their own zone, and any other change for all runners.
func TestHealthIsSentInItsZoneOnly(t *testing.T) {
	table, view := NewTable("e"), NewView()
	near, far := Runner{ID: "near", Zone: "z"}, Runner{ID: "far", Zone: "y"}
	table.Update([]Runner{near, far})
	view.Apply(deltaFor(table, view))
	near.Health.LatencyMs, far.Health.LatencyMs = 5, 5
	table.Update([]Runner{near, far})
	delta := deltaFor(table, view)
	if len(delta.Runners) != 0 || len(delta.HealthUpdates) != 1 || delta.HealthUpdates[0].ID != "near" {
		t.Errorf("got %+v, want the health of runner near only", delta)
	}
	if view.Apply(delta); view.runners["near"].Health.LatencyMs != 5 || view.runners["far"].Health.LatencyMs != 0 {
		t.Errorf("the copy has %+v", view.Runners())
	}
	far.Draining = true
	table.Update([]Runner{near, far})
	if delta := deltaFor(table, view); len(delta.Runners) != 1 || !delta.Runners[0].Draining ||
		len(delta.HealthUpdates) != 0 {
		t.Errorf("got %+v, want the drain of runner far only", delta)
	}
}

// changeAtRandom adds, changes or removes a runner, and rarely removes all but one.
func changeAtRandom(random *rand.Rand, list []Runner, i int) []Runner {
	list = slices.Clone(list)
	switch {
	case len(list) == 0 || random.Intn(3) == 0:
		return append(list, Runner{ID: fmt.Sprint("r", i), Service: "s", Slots: 2, WarmUpMs: 100})
	case random.Intn(50) == 0:
		return list[:1]
	}
	k := random.Intn(len(list))
	switch random.Intn(3) {
	case 0:
		list[k].Draining = !list[k].Draining
	case 1:
		list[k].WarmUpMs = 0 // doesn't count as a change
	case 2:
		list = slices.Delete(list, k, k+1)
	}
	return list
}

func requireSameRunners(t *testing.T, view *View, list []Runner) {
	t.Helper()
	want := slices.Clone(list)
	sortByID(want)
	if !slices.EqualFunc(view.Runners(), want, Runner.sameState) {
		t.Fatalf("the copy has\n%+v, want\n%+v", view.Runners(), want)
	}
}

// TestPartialDeltaOfAnotherEpochIsIgnored checks that a delta of another epoch is applied only if
// it holds the full list.
func TestPartialDeltaOfAnotherEpochIsIgnored(t *testing.T) {
	view := NewView()
	view.Apply(Delta{Epoch: "a", Version: 3, Whole: true, Runners: []Runner{{ID: "x"}}})
	if view.Apply(Delta{Epoch: "b", Version: 9, Removed: []string{"x"}}) || len(view.Runners()) != 1 {
		t.Error("a partial delta of another epoch was applied")
	}
	if !view.Apply(Delta{Epoch: "b", Version: 1, Whole: true}) || len(view.Runners()) != 0 {
		t.Error("the full list of another epoch was not applied")
	}
}

// TestNextLeaderSendsOnlyChanges checks that a new leader recognizes a copy of the previous
// leader's list by its digest and sends only the changes, and that it sends the full list for a
// copy whose digest it doesn't know.
func TestNextLeaderSendsOnlyChanges(t *testing.T) {
	a, b, c := Runner{ID: "a", Zone: "z"}, Runner{ID: "b", Zone: "z"}, Runner{ID: "c", Zone: "z"}
	first, view, stale := NewTable("e1"), NewView(), NewView()
	first.Update([]Runner{a})
	stale.Apply(deltaFor(first, stale))
	first.Update([]Runner{a, b})
	view.Apply(deltaFor(first, view))
	next := NewTable("e2")
	next.Update(view.Runners())
	next.Update([]Runner{b, c})
	delta := deltaFor(next, view)
	if delta.Whole || len(delta.Runners) != 1 || len(delta.Removed) != 1 {
		t.Errorf("got %+v, want one changed runner and one removal", delta)
	}
	if !view.Apply(delta) || view.Apply(delta) {
		t.Error("the delta was not applied exactly once")
	}
	requireSameRunners(t, view, []Runner{b, c})
	if again := deltaFor(next, view); len(again.Runners)+len(again.Removed) != 0 {
		t.Errorf("sent again: %+v", again)
	}
	if stale.Apply(delta) {
		t.Error("a delta made for another list was applied")
	}
	if whole := deltaFor(next, stale); !whole.Whole || !stale.Apply(whole) {
		t.Errorf("got %+v, want the full list", whole)
	}
	requireSameRunners(t, stale, []Runner{b, c})
}

// TestScopesAreIndependent checks that a daemon that asks for the runners of its zone gets only
// these, and that one that changes its scope gets the full list of the new scope.
func TestScopesAreIndependent(t *testing.T) {
	near, far := Runner{ID: "near", Zone: "z"}, Runner{ID: "far", Zone: "y"}
	table, view := NewTable("e1"), NewView()
	table.Update([]Runner{near, far})
	view.Apply(table.Since(view.Position(), "z", "z"))
	requireSameRunners(t, view, []Runner{near})
	far.Draining = true
	table.Update([]Runner{near, far})
	if delta := table.Since(view.Position(), "z", "z"); len(delta.Runners) != 0 || delta.Whole || !view.Apply(delta) {
		t.Errorf("got %+v, want an empty partial delta", delta)
	}
	next := NewTable("e2")
	next.Update([]Runner{near, far})
	if delta := next.Since(view.Position(), "z", "z"); delta.Whole || len(delta.Runners) != 0 || !view.Apply(delta) {
		t.Errorf("the next leader sends %+v, want an empty partial delta", delta)
	}
	wide := next.Since(view.Position(), "z", AllZones)
	if !wide.Whole || !view.Apply(wide) {
		t.Errorf("in another scope: got %+v, want the full list", wide)
	}
	requireSameRunners(t, view, []Runner{far, near})
}

// TestForgottenRemovalsCauseAFullList checks that a daemon is sent the full list if it has missed
// removals that the table no longer remembers.
func TestForgottenRemovalsCauseAFullList(t *testing.T) {
	table, view := NewTable("e"), NewView()
	var list []Runner
	for i := range maxRetainedRemovals + 1 {
		list = append(list, Runner{ID: fmt.Sprint(i)})
	}
	table.Update(list)
	view.Apply(deltaFor(table, view))
	table.Update(nil)
	table.Update(list[:1])
	if delta := deltaFor(table, view); !delta.Whole {
		t.Error("got a partial delta, although not all removals are remembered")
	}
	view.Apply(deltaFor(table, view))
	requireSameRunners(t, view, list[:1])
}

// TestKeptHealthIsNotAChange checks that a list read without new health data is no change, and that
// one in which a runner began to drain sends that runner only.
func TestKeptHealthIsNotAChange(t *testing.T) {
	table := NewTable("epoch")
	list := func() []Runner { return []Runner{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}} }
	first := list()
	first[0].Health = Health{LatencyMs: 7, FailedPct: 10}
	table.Update(first)
	again := list()
	table.KeepHealth(again)
	if table.Update(again) {
		t.Error("the same list with the health kept counts as a change")
	}
	version := table.Version()
	draining := list()
	draining[1].Draining = true
	table.KeepHealth(draining)
	table.Update(draining)
	if delta := table.Since(Position{Epoch: table.epochOf(AllZones), Version: version}, "z",
		AllZones); len(delta.Runners) != 1 || delta.Runners[0].ID != "b" {
		t.Errorf("got %+v, want runner b only", delta.Runners)
	}
}
