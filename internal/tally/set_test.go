package tally

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"
)

// testAdd returns an add with a caller's ID.
func testAdd(name, id string, amount int64) Add {
	return Add{Tally: name, ID: NewID(name, id), Amount: amount}
}

// merge stages a run, marks it written and returns how many adds were new.
func merge(s *Set, run Run) int {
	taken := s.Stage(run)
	s.MarkWritten(taken)
	return len(taken.Adds)
}

// randomRuns returns random adds of three origins as runs of one add; some IDs repeat.
func randomRuns(random *rand.Rand) []Run {
	var runs []Run
	for origin := range 3 {
		for number := range 1 + random.Intn(8) {
			id := fmt.Sprint(random.Intn(12))
			add := testAdd(fmt.Sprint("t", random.Intn(2)), id, int64(len(id))*7+int64(id[0]))
			runs = append(runs, Run{Origin: fmt.Sprint("o", origin), First: uint64(number + 1), Adds: []Add{add}})
		}
	}
	return runs
}

// TestMergeIsUnion checks that the same adds give the same totals and the same vector in any order,
// with any repetitions and by way of any replicas.
func TestMergeIsUnion(t *testing.T) {
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		runs := randomRuns(random)
		want := NewSet()
		sums, counted := map[string]int64{}, map[ID]bool{}
		for _, run := range runs {
			merge(want, run)
			for _, add := range run.Adds {
				if !counted[add.ID] {
					counted[add.ID] = true
					sums[add.Tally] += add.Amount
				}
			}
		}
		if !maps.Equal(want.Totals(), sums) {
			t.Fatalf("seed %d: %v, want %v", seed, want.Totals(), sums)
		}
		sets := []*Set{NewSet(), NewSet(), NewSet()}
		for step := 0; !maps.Equal(sets[0].Vector(), want.Vector()) || !maps.Equal(sets[1].Vector(), want.Vector()); step++ {
			if step > 10000 {
				t.Fatalf("seed %d: the sets don't converge", seed)
			}
			to, from := sets[random.Intn(3)], sets[random.Intn(3)]
			if random.Intn(2) == 0 {
				merge(to, runs[random.Intn(len(runs))])
				continue
			}
			vector := to.Vector()
			if random.Intn(3) == 0 {
				vector = Vector{} // adds that it has are sent again
			}
			for _, run := range from.AddsAfter(vector, 1+random.Intn(5)) {
				merge(to, run)
			}
		}
		for i, set := range sets[:2] {
			if !maps.Equal(set.Totals(), sums) {
				t.Fatalf("seed %d: set %d has %v, want %v", seed, i, set.Totals(), sums)
			}
		}
	}
}

// TestStageRejectsGaps checks that Stage accepts no add after a gap, since an acknowledgement by
// number covers all lower numbers.
func TestStageRejectsGaps(t *testing.T) {
	add := func(id string) Add { return testAdd("t", id, 1) }
	for _, c := range []struct {
		run   Run
		taken int
	}{
		{Run{Origin: "a", First: 2, Adds: []Add{add("2")}}, 0},
		{Run{Origin: "a", First: 0, Adds: []Add{add("0")}}, 0},
		{Run{Origin: "a", First: 1, Adds: []Add{add("1"), add("2")}}, 2},
		{Run{Origin: "a", First: 1, Adds: []Add{add("1"), add("2")}}, 0},
		{Run{Origin: "a", First: 2, Adds: []Add{add("2"), add("3")}}, 1},
		{Run{Origin: "a", First: 5, Adds: []Add{add("5")}}, 0},
	} {
		set := NewSet()
		if c.taken != 2 {
			merge(set, Run{Origin: "a", First: 1, Adds: []Add{add("1"), add("2")}})
			if c.run.First == 2 && len(c.run.Adds) == 1 {
				set = NewSet()
			}
		}
		before := set.Vector()["a"]
		if taken := merge(set, c.run); taken != c.taken || set.Vector()["a"] != before+uint64(taken) {
			t.Errorf("%+v: %d adds staged, vector %v", c.run, taken, set.Vector())
		}
	}
}

// TestLargerAmountCounts checks that of two amounts for one ID the larger counts in any order, and
// that only written adds count.
func TestLargerAmountCounts(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		set := NewSet()
		staged := map[string][]Run{}
		largest := map[string]int64{}
		for range 30 {
			origin, id := fmt.Sprint("o", random.Intn(3)), fmt.Sprint(random.Intn(4))
			if random.Intn(2) == 0 {
				add := testAdd("t", id, int64(1+random.Intn(9)))
				staged[origin] = append(staged[origin],
					set.Stage(Run{Origin: origin, First: set.LastNumber(origin) + 1, Adds: []Add{add}}))
			} else if len(staged[origin]) > 0 {
				set.MarkWritten(staged[origin][0])
				staged[origin] = staged[origin][1:]
			}
		}
		for _, runs := range staged {
			for _, run := range runs {
				set.MarkWritten(run)
			}
		}
		for _, run := range set.AddsAfter(nil, 1000) {
			for _, add := range run.Adds {
				largest[string(add.ID[:])] = max(largest[string(add.ID[:])], add.Amount)
			}
		}
		want := int64(0)
		for _, amount := range largest {
			want += amount
		}
		if set.Total("t") != want || len(set.supersededAmounts) != 0 {
			t.Fatalf("seed %d: total %d, want %d, %d superseded amounts left",
				seed, set.Total("t"), want, len(set.supersededAmounts))
		}
	}
}
