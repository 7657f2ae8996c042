package tally

import (
	"fmt"
	"math/rand"
	"testing"
)

// putBack gives a machine an older copy of its file, starts it and hands it an add before it
// hears a peer.
func (w *world) putBack(machine int, id string) {
	m := w.machines[machine]
	m.disk, m.writing = m.disk[:w.random.Intn(len(m.disk)+1)], nil
	if len(m.disk) == 0 {
		return // an empty disk has a new origin
	}
	w.start(machine)
	w.add(machine, id)
}

// TestNumbersGivenTwice: machines whose files are put back from copies give numbers again. All
// machines come to hold the same adds, and of both adds of a number none is lost or counts twice.
func TestNumbersGivenTwice(t *testing.T) {
	moved := uint64(0)
	for seed := range *troubleSeeds {
		w := newWorld(seed, 4)
		w.mayDiffer = true
		for n := range 15 {
			for range 100 {
				w.add(w.random.Intn(len(w.machines)), fmt.Sprint(w.random.Intn(1000)))
				w.step()
			}
			for range 400 {
				w.step()
			}
			w.putBack(w.random.Intn(len(w.machines)), fmt.Sprint("again", n))
			for _, m := range w.machines {
				moved += m.replica.Differences().Moved
			}
		}
		// A comparison takes a round trip for each 50 adds: 3 to 4 s for all of them here, and
		// the adds that it moves may have to be compared again.
		for range 800 {
			w.step()
		}
		if err := w.checkKept(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	if moved == 0 {
		t.Error("no number was given twice")
	}
}

// TestReplacedAddsCountOnce: whatever stands at a position, the sums are those of a set that
// held the new adds from the start.
func TestReplacedAddsCountOnce(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		set := NewSet()
		for _, run := range randomRuns(random) {
			merge(set, run)
		}
		for range 10 {
			origin := set.origins[random.Intn(len(set.origins))]
			number := 1 + random.Intn(len(origin.adds))
			id := fmt.Sprint(random.Intn(14))
			set.Replace(Position{Origin: origin.name, Number: uint64(number)}, testAdd("t0", id, int64(random.Intn(20))))
		}
		want := NewSet()
		for _, origin := range set.origins {
			merge(want, Run{Origin: origin.name, First: 1, Adds: origin.adds})
		}
		for _, tally := range []string{"t0", "t1"} {
			if set.Total(tally) != want.Total(tally) {
				t.Fatalf("seed %d: %s is %d, counted anew %d", seed, tally, set.Total(tally), want.Total(tally))
			}
		}
		if set.Contents() != want.Contents() {
			t.Fatalf("seed %d: the digest of the contents is not that of a new set", seed)
		}
	}
}
