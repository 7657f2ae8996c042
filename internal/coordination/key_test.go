package coordination

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

const testHistoryMs = 20_000 // ms

// put sets a key and returns the revision, and whether the put was refused.
func (t *Tables) put(key, value string, expected, clock int64) (revision int64, refused bool) {
	revision, err := t.Put(Put{Key: key, Value: value, Expected: expected, HistoryMs: testHistoryMs}, clock)
	var mismatch *RevisionError
	if errors.As(err, &mismatch) {
		return mismatch.Revision, true
	}
	return revision, false
}

// TestPutComparesRevisions checks that the keys of a group share one sequence of revisions, that a
// put succeeds only at the expected revision, and that a refusal names the revision of the key.
func TestPutComparesRevisions(t *testing.T) {
	tables := New()
	for i, test := range []struct {
		key, value string
		expected   int64
		revision   int64
		refused    bool
	}{
		{"g.a", "1", 0, 1, false},
		{"g.b", "2", 0, 2, false},
		{"g.a", "3", 0, 1, true},
		{"g.a", "4", 2, 1, true},
		{"g.a", "5", 1, 3, false},
		{"g.c", "6", 7, 0, true},
		{"h.a", "7", 0, 1, false},
		{"alone", "8", 0, 1, false},
		{"g.a", "9", 3, 4, false},
	} {
		if revision, refused := tables.put(test.key, test.value, test.expected, int64(i)); revision != test.revision ||
			refused != test.refused {
			t.Errorf("%+v: revision %d, refused %v", test, revision, refused)
		}
	}
	if value, ok := tables.Read("g.a"); !ok || value.Value != "9" || value.Revision != 4 {
		t.Errorf("%+v", value)
	}
	if _, ok := tables.Read("g.c"); ok {
		t.Error("a refused put is visible")
	}
}

// TestRepeatedPutGetsItsFirstOutcome checks that a repeated put gets its first outcome, whether
// success or refusal, also after later puts of the key, in clones of the tables and until outcomes
// expire.
func TestRepeatedPutGetsItsFirstOutcome(t *testing.T) {
	tables := New()
	tables.put("g.a", "first", 0, 0)
	tables.put("g.a", "refused", 5, 1)
	tables.put("g.a", "second", 1, 2)
	last := putOutcomeRetention.Milliseconds()
	for _, clock := range []int64{3, last} {
		tables = tables.Clone()
		tables.Expire(clock)
		if revision, refused := tables.put("g.a", "first", 0, clock); revision != 1 || refused {
			t.Errorf("the first put, repeated: revision %d, refused %v", revision, refused)
		}
		// The put would succeed now, but it was refused before.
		if revision, refused := tables.put("g.a", "refused", 2, clock); revision != 1 || !refused {
			t.Errorf("a refused put, repeated: revision %d, refused %v", revision, refused)
		}
	}
	tables.Expire(last + 3)
	if len(tables.Groups["g."].Outcomes) != 0 {
		t.Error("outcomes do not expire")
	}
	if revision, refused := tables.put("g.a", "second", 1, last+4); revision != 2 || refused {
		t.Errorf("the put of the current value, repeated: revision %d, refused %v", revision, refused)
	}
}

// TestWatchSkipsNoEvents checks that a watch gets all later puts, in order, if it starts from a
// revision whose later puts are all kept, and ErrCompacted if it starts from an older one.
func TestWatchSkipsNoEvents(t *testing.T) {
	tables := New()
	if update, err := tables.Since("g.", 0, 0); err != nil || update.Revision != 0 || len(update.Events) != 0 {
		t.Errorf("watch of an empty group: %+v, %v", update, err)
	}
	for i := range int64(100) {
		tables.put(fmt.Sprint("g.", i%7), fmt.Sprint(i), tables.revisionOf(fmt.Sprint("g.", i%7)), i*500)
	}
	group := tables.Groups["g."]
	oldest := group.History[0]
	if age := 99*500 - oldest.At; age < testHistoryMs || age > 2*testHistoryMs || oldest.Revision != group.Compacted+1 {
		t.Errorf("the oldest put kept is %d ms old, of revision %d after %d", age, oldest.Revision, group.Compacted)
	}
	for after := int64(0); after <= 100; after++ {
		update, err := tables.Since("g.", after, 99*500)
		if after < group.Compacted {
			if !errors.Is(err, ErrCompacted) {
				t.Errorf("after %d: %v", after, err)
			}
			continue
		}
		revisions := []int64{}
		for _, event := range update.Events {
			revisions = append(revisions, event.Revision)
		}
		want := []int64{}
		for revision := after + 1; revision <= 100; revision++ {
			want = append(want, revision)
		}
		if err != nil || update.Revision != 100 || !slices.Equal(revisions, want) {
			t.Errorf("after %d, up to %d: %v, %v", after, update.Revision, revisions, err)
		}
	}
	tables.Expire(1_000_000)
	if update, err := tables.Since("g.", 100, 1_000_000); err != nil || update.Revision != 100 {
		t.Errorf("can't resume from the newest revision: %+v, %v", update, err)
	}
}

// revisionOf returns the revision of a key; 0 if it doesn't exist.
func (t *Tables) revisionOf(key string) int64 {
	value, _ := t.Read(key)
	return value.Revision
}

// TestWatchResultIsBounded checks that a watch result has at most maxWatchEvents events, and that
// the next one continues where it ended.
func TestWatchResultIsBounded(t *testing.T) {
	tables := New()
	for i := range int64(2*maxWatchEvents + 10) {
		tables.put("g.a", fmt.Sprint(i), i, i)
	}
	eventCount, after := 0, int64(1)
	for range 3 {
		update, err := tables.Since("g.", after, 0)
		if err != nil || len(update.Events) > maxWatchEvents || update.Events[0].Revision != after+1 {
			t.Fatalf("after %d: %d events, %v", after, len(update.Events), err)
		}
		eventCount, after = eventCount+len(update.Events), update.Revision
	}
	if eventCount != 2*maxWatchEvents+9 {
		t.Errorf("%d events", eventCount)
	}
}

// TestCutOffWatchCanBeResumed guards against a watch that loses puts: an answer was cut off at a
// revision whose next put was dropped before the caller, within the history, resumed from it. The
// caller sleeps for almost the whole history between its calls, under several rates of puts.
func TestCutOffWatchCanBeResumed(t *testing.T) {
	const sleepMs, end = testHistoryMs - 100, 8 * testHistoryMs
	for _, intervalMs := range []int64{5, 20, 37, 1000} {
		t.Run(fmt.Sprint("a put each ", intervalMs, " ms"), func(t *testing.T) {
			tables, after, resumed, got := New(), int64(1), int64(0), int64(0)
			for clock := int64(0); clock < end; clock += intervalMs {
				tables.put("g.a", fmt.Sprint(clock), tables.revisionOf("g.a"), clock)
				if clock-resumed < sleepMs {
					continue
				}
				update, err := tables.Since("g.", after, clock)
				if err != nil {
					t.Fatalf("at %d ms, after revision %d: %v", clock, after, err)
				}
				got += int64(len(update.Events))
				after, resumed = update.Revision, clock
			}
			if got != after-1 || got == 0 {
				t.Errorf("%d events up to revision %d", got, after)
			}
		})
	}
}

// TestCloneIsIndependent checks that changes to tables don't change their clone, and the reverse.
func TestCloneIsIndependent(t *testing.T) {
	tables := New()
	tables.put("g.a", "1", 0, 0)
	if _, err := tables.NextNumber("n"); err != nil {
		t.Fatal(err)
	}
	tables.mustAcquire(t, "a", 0)
	copied := tables.Clone()
	tables.put("g.a", "2", 1, 1)
	tables.put("h.a", "3", 0, 1)
	if _, err := tables.NextNumber("n"); err != nil {
		t.Fatal(err)
	}
	tables.Release(Release{Name: "l", Holder: "a", Fence: 1})
	if update, _ := copied.Since("g.", 0, 1); len(update.Events) != 1 || copied.revisionOf("g.a") != 1 ||
		copied.revisionOf("h.a") != 0 || copied.Counters["n"] != 1 || len(copied.Locks) != 1 {
		t.Errorf("the clone was changed to %+v", copied)
	}
	if n, err := copied.NextNumber("n"); n != 2 || err != nil {
		t.Errorf("the clone's next number is %d, %v", n, err)
	}
}

// TestBytesMatchRecount checks that the estimated memory of the tables follows each change of them: puts
// that are taken, refused or repeated, replaced values, and the expiry of history and outcomes.
func TestBytesMatchRecount(t *testing.T) {
	random := rand.New(rand.NewPCG(72, 1))
	tables, clock := New(), int64(1)
	for range 5000 {
		clock += random.Int64N(2000)
		key := fmt.Sprintf("g%d.k%d", random.IntN(3), random.IntN(5))
		put := Put{Key: key, Value: strings.Repeat("v", random.IntN(40)), Expected: int64(random.IntN(2)) * tables.revisionOf(key), HistoryMs: 5000}
		before := tables.Bytes()
		_, _ = tables.Put(put, clock) // refusals are part of the test
		if grown := tables.Bytes() - before; grown > put.Bytes() {
			t.Fatalf("a put grew the tables by %d bytes, estimated %d", grown, put.Bytes())
		}
		if random.IntN(20) == 0 {
			tables.Expire(clock)
		}
		if random.IntN(50) == 0 {
			tables = tables.Clone()
		}
		recounted := int64(0)
		for _, group := range tables.Groups {
			recounted += group.recount()
		}
		if recounted != tables.Bytes() {
			t.Fatalf("%d bytes, recounted %d", tables.Bytes(), recounted)
		}
	}
}
