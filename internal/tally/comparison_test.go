package tally

import (
	"fmt"
	"math/rand"
	"testing"
)

// restoreOldFile truncates a machine's file to an older copy of itself, restarts the machine and
// makes an add there before it hears from a peer.
func (c *cluster) restoreOldFile(machine int, id string) {
	m := c.machines[machine]
	m.disk, m.writing = m.disk[:c.random.Intn(len(m.disk)+1)], nil
	if len(m.disk) == 0 {
		return // a replica with an empty disk gets a new origin
	}
	c.start(machine)
	c.add(machine, id)
}

// TestDuplicateNumbersConverge checks that all machines converge to the same adds after machines
// whose files were restored from older copies have assigned numbers twice, and that no add with a
// duplicate number is lost or counted twice.
func TestDuplicateNumbersConverge(t *testing.T) {
	moved := uint64(0)
	for seed := range *faultSeeds {
		c := newCluster(seed, 4)
		c.allowsDuplicateNumbers = true
		for n := range 15 {
			for range 100 {
				c.add(c.random.Intn(len(c.machines)), fmt.Sprint(c.random.Intn(1000)))
				c.step()
			}
			for range 400 {
				c.step()
			}
			c.restoreOldFile(c.random.Intn(len(c.machines)), fmt.Sprint("again", n))
			for _, m := range c.machines {
				moved += m.replica.Differences().Moved
			}
		}
		// A comparison takes a round trip for each 50 adds: 3 to 4 s for all adds here. The adds
		// that it moves may have to be compared again.
		for range 800 {
			c.step()
		}
		if err := c.checkConverged(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	if moved == 0 {
		t.Error("no number was assigned twice")
	}
}

// TestReplacedAddsCountOnce checks that after any replacements the totals and the digest equal
// those of a set built from the final adds.
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
				t.Fatalf("seed %d: total of %s is %d, want %d", seed, tally, set.Total(tally), want.Total(tally))
			}
		}
		if set.Contents() != want.Contents() {
			t.Fatalf("seed %d: contents digest differs from that of a new set with the same adds", seed)
		}
	}
}
