package registry

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// TestDeltasGiveTheWholeList: whatever deltas a daemon misses, repeats or gets late, it
// has the table's list once it has the newest one; nothing is told twice.
func TestDeltasGiveTheWholeList(t *testing.T) {
	for seed := range int64(50) {
		random := rand.New(rand.NewSource(seed))
		table, view := NewTable("e0"), NewView()
		var list []Runner
		var earlier []Delta
		for i := range 400 {
			list = changeByLot(random, list, i)
			table.Update(list)
			if random.Intn(3) == 0 {
				delta := since(table, view)
				earlier = append(earlier, delta)
				view.Apply(delta)
				requireSame(t, view, list)
				if again := since(table, view); len(again.Runners)+len(again.Removed) != 0 || again.Whole {
					t.Fatalf("seed %d: %+v is told again", seed, again)
				}
			}
			if len(earlier) > 0 && random.Intn(4) == 0 {
				view.Apply(earlier[random.Intn(len(earlier))])
			}
			if random.Intn(100) == 0 {
				// Another daemon reads the list from now on, which has an older one at first.
				table = NewTable(fmt.Sprint("e", i+1))
				if random.Intn(2) == 0 {
					table.Update(view.Runners())
				}
				table.Update(list)
			}
		}
		view.Apply(since(table, view))
		requireSame(t, view, list)
	}
}

// since gives a copy what it lacks, for daemons of zone z.
func since(table *Table, view *View) Delta {
	return table.Since(view.Position(), "z", AllZones)
}

// TestHealthIsToldInItsZone alone; any other change everywhere.
func TestHealthIsToldInItsZone(t *testing.T) {
	table, view := NewTable("e"), NewView()
	near, far := Runner{ID: "near", Zone: "z"}, Runner{ID: "far", Zone: "y"}
	table.Update([]Runner{near, far})
	view.Apply(since(table, view))
	near.Health.LatencyMs, far.Health.LatencyMs = 5, 5
	table.Update([]Runner{near, far})
	delta := since(table, view)
	if len(delta.Runners) != 0 || len(delta.Healths) != 1 || delta.Healths[0].ID != "near" {
		t.Errorf("told of %+v", delta)
	}
	if view.Apply(delta); view.runners["near"].Health.LatencyMs != 5 || view.runners["far"].Health.LatencyMs != 0 {
		t.Errorf("the copy has %+v", view.Runners())
	}
	far.Draining = true
	table.Update([]Runner{near, far})
	if delta := since(table, view); len(delta.Runners) != 1 || !delta.Runners[0].Draining || len(delta.Healths) != 0 {
		t.Errorf("told of %+v", delta)
	}
}

// changeByLot adds, changes or removes a runner, at times nearly all of them.
func changeByLot(random *rand.Rand, list []Runner, i int) []Runner {
	list = slices.Clone(list)
	switch {
	case len(list) == 0 || random.Intn(3) == 0:
		return append(list, Runner{ID: fmt.Sprint("r", i), Service: "s", Slots: 2, ColdMs: 100})
	case random.Intn(50) == 0:
		return list[:1]
	}
	k := random.Intn(len(list))
	switch random.Intn(3) {
	case 0:
		list[k].Draining = !list[k].Draining
	case 1:
		list[k].ColdMs = 0 // is no change
	case 2:
		list = slices.Delete(list, k, k+1)
	}
	return list
}

func requireSame(t *testing.T, view *View, list []Runner) {
	t.Helper()
	want := slices.Clone(list)
	sortByID(want)
	if !slices.EqualFunc(view.Runners(), want, Runner.sameState) {
		t.Fatalf("the copy has\n%+v, want\n%+v", view.Runners(), want)
	}
}

// TestDeltaOfAnotherEpochChangesNothing unless it is whole.
func TestDeltaOfAnotherEpochChangesNothing(t *testing.T) {
	view := NewView()
	view.Apply(Delta{Epoch: "a", Version: 3, Whole: true, Runners: []Runner{{ID: "x"}}})
	if view.Apply(Delta{Epoch: "b", Version: 9, Removed: []string{"x"}}) || len(view.Runners()) != 1 {
		t.Error("a delta of another epoch was taken over")
	}
	if !view.Apply(Delta{Epoch: "b", Version: 1, Whole: true}) || len(view.Runners()) != 0 {
		t.Error("the whole list of another epoch was not taken over")
	}
}

// TestNextLeaderTellsChangesAlone: a copy of an earlier leader's list is known by its digest
// to the next one that had the same, and any other is told the whole.
func TestNextLeaderTellsChangesAlone(t *testing.T) {
	a, b, c := Runner{ID: "a", Zone: "z"}, Runner{ID: "b", Zone: "z"}, Runner{ID: "c", Zone: "z"}
	first, view, behind := NewTable("e1"), NewView(), NewView()
	first.Update([]Runner{a})
	behind.Apply(since(first, behind))
	first.Update([]Runner{a, b})
	view.Apply(since(first, view))
	next := NewTable("e2")
	next.Update(view.Runners())
	next.Update([]Runner{b, c})
	delta := since(next, view)
	if delta.Whole || len(delta.Runners) != 1 || len(delta.Removed) != 1 {
		t.Errorf("told %+v", delta)
	}
	if !view.Apply(delta) || view.Apply(delta) {
		t.Error("the change was not taken over once")
	}
	requireSame(t, view, []Runner{b, c})
	if again := since(next, view); len(again.Runners)+len(again.Removed) != 0 {
		t.Errorf("told again %+v", again)
	}
	if behind.Apply(delta) {
		t.Error("a change was taken over that follows another list")
	}
	if whole := since(next, behind); !whole.Whole || !behind.Apply(whole) {
		t.Errorf("told %+v", whole)
	}
	requireSame(t, behind, []Runner{b, c})
}

// TestScopesAreToldApart: a daemon that asks for its zone's runners is told of these alone;
// one that asks for another scope than before is told that whole.
func TestScopesAreToldApart(t *testing.T) {
	near, far := Runner{ID: "near", Zone: "z"}, Runner{ID: "far", Zone: "y"}
	table, view := NewTable("e1"), NewView()
	table.Update([]Runner{near, far})
	view.Apply(table.Since(view.Position(), "z", "z"))
	requireSame(t, view, []Runner{near})
	far.Draining = true
	table.Update([]Runner{near, far})
	if delta := table.Since(view.Position(), "z", "z"); len(delta.Runners) != 0 || delta.Whole || !view.Apply(delta) {
		t.Errorf("told %+v", delta)
	}
	next := NewTable("e2")
	next.Update([]Runner{near, far})
	if delta := next.Since(view.Position(), "z", "z"); delta.Whole || len(delta.Runners) != 0 || !view.Apply(delta) {
		t.Errorf("the next leader tells %+v", delta)
	}
	wide := next.Since(view.Position(), "z", AllZones)
	if !wide.Whole || !view.Apply(wide) {
		t.Errorf("another scope: %+v", wide)
	}
	requireSame(t, view, []Runner{far, near})
}

// TestManyRemovalsAreToldWhole: removals that are no longer remembered are told by the
// whole list.
func TestManyRemovalsAreToldWhole(t *testing.T) {
	table, view := NewTable("e"), NewView()
	var list []Runner
	for i := range maxRemovals + 1 {
		list = append(list, Runner{ID: fmt.Sprint(i)})
	}
	table.Update(list)
	view.Apply(since(table, view))
	table.Update(nil)
	table.Update(list[:1])
	if delta := since(table, view); !delta.Whole {
		t.Error("told by removals that are not all remembered")
	}
	view.Apply(since(table, view))
	requireSame(t, view, list[:1])
}

// TestKeptHealthIsNoChange: a list that is read without a new account of health tells
// nobody anything, and one with a runner that drains only that.
func TestKeptHealthIsNoChange(t *testing.T) {
	table := NewTable("epoch")
	list := func() []Runner { return []Runner{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}} }
	first := list()
	first[0].Health = Health{LatencyMs: 7, FailedPct: 10}
	table.Update(first)
	again := list()
	table.KeepHealth(again)
	if table.Update(again) {
		t.Error("the same list with the health kept is a change")
	}
	version := table.Version()
	draining := list()
	draining[1].Draining = true
	table.KeepHealth(draining)
	table.Update(draining)
	if delta := table.Since(Position{Epoch: table.epochOf(AllZones), Version: version}, "z", AllZones); len(delta.Runners) != 1 || delta.Runners[0].ID != "b" {
		t.Errorf("told %+v", delta.Runners)
	}
}
