package tally

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"
)

// randomRuns draws adds of some origins, of which some IDs come twice, as runs of one add.
func randomRuns(random *rand.Rand) []Run {
	var runs []Run
	for origin := range 3 {
		for number := range 1 + random.Intn(8) {
			id := fmt.Sprint(random.Intn(12))
			add := Add{Tally: fmt.Sprint("t", random.Intn(2)), ID: id, Amount: int64(len(id))*7 + int64(id[0])}
			runs = append(runs, Run{Origin: fmt.Sprint("o", origin), First: uint64(number + 1), Adds: []Add{add}})
		}
	}
	return runs
}

// TestMergeIsAUnion: the same adds give the same sums and the same vector in any order, with
// any repeats and by way of any replicas.
func TestMergeIsAUnion(t *testing.T) {
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		runs := randomRuns(random)
		want := NewSet()
		sums, counted := map[string]int64{}, map[addKey]bool{}
		for _, run := range runs {
			want.Merge(run)
			for _, add := range run.Adds {
				if key := (addKey{add.Tally, add.ID}); !counted[key] {
					counted[key] = true
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
				t.Fatalf("seed %d: the sets don't meet", seed)
			}
			to, from := sets[random.Intn(3)], sets[random.Intn(3)]
			if random.Intn(2) == 0 {
				to.Merge(runs[random.Intn(len(runs))])
				continue
			}
			vector := to.Vector()
			if random.Intn(3) == 0 {
				vector = Vector{} // what it has comes again
			}
			for _, run := range from.Missing(vector, "", 1+random.Intn(5)) {
				to.Merge(run)
			}
		}
		for i, set := range sets[:2] {
			if !maps.Equal(set.Totals(), sums) {
				t.Fatalf("seed %d: set %d has %v, want %v", seed, i, set.Totals(), sums)
			}
		}
	}
}

// TestGapsAreNotTaken: what an acknowledgement by a number covers has no gap.
func TestGapsAreNotTaken(t *testing.T) {
	add := func(id string) Add { return Add{Tally: "t", ID: id, Amount: 1} }
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
			set.Merge(Run{Origin: "a", First: 1, Adds: []Add{add("1"), add("2")}})
			if c.run.First == 2 && len(c.run.Adds) == 1 {
				set = NewSet()
			}
		}
		before := set.Vector()["a"]
		if taken := set.Merge(c.run); taken != c.taken || set.Vector()["a"] != before+uint64(taken) {
			t.Errorf("%+v: %d taken, the vector is %v", c.run, taken, set.Vector())
		}
	}
}
