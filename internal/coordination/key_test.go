package coordination

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

const history = 20_000 // ms

// put sets a key and gives the revision, and whether the put was refused.
func (t *Tables) put(key, value string, expected, clock int64) (revision int64, refused bool) {
	revision, err := t.Put(Put{Key: key, Value: value, Expected: expected, HistoryMs: history}, clock)
	var mismatch *RevisionError
	if errors.As(err, &mismatch) {
		return mismatch.Revision, true
	}
	return revision, false
}

// TestPutsCompareAndSet: all keys of a group share one count, a put succeeds at the
// expected revision alone, and a refusal names that of the key.
func TestPutsCompareAndSet(t *testing.T) {
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
		if revision, refused := tables.put(test.key, test.value, test.expected, int64(i)); revision != test.revision || refused != test.refused {
			t.Errorf("%+v: revision %d, refused %v", test, revision, refused)
		}
	}
	if value, ok := tables.Read("g.a"); !ok || value.Value != "9" || value.Revision != 4 {
		t.Errorf("%+v", value)
	}
	if _, ok := tables.Read("g.c"); ok {
		t.Error("a refused put is shown")
	}
}

// TestPutSentAgainGetsItsFirstAnswer: also once the key has moved on, and also a refusal,
// over copies of the tables and for as long as puts are remembered.
func TestPutSentAgainGetsItsFirstAnswer(t *testing.T) {
	tables := New()
	tables.put("g.a", "first", 0, 0)
	tables.put("g.a", "refused", 5, 1)
	tables.put("g.a", "second", 1, 2)
	last := putMemory.Milliseconds()
	for _, clock := range []int64{3, last} {
		tables = tables.Clone()
		tables.Forget(clock)
		if revision, refused := tables.put("g.a", "first", 0, clock); revision != 1 || refused {
			t.Errorf("the first put again: revision %d, refused %v", revision, refused)
		}
		// It would succeed by now, and was called off.
		if revision, refused := tables.put("g.a", "refused", 2, clock); revision != 1 || !refused {
			t.Errorf("a refused put again: revision %d, refused %v", revision, refused)
		}
	}
	tables.Forget(last + 3)
	if len(tables.Groups["g."].Outcomes) != 0 {
		t.Error("outcomes are remembered for good")
	}
	if revision, refused := tables.put("g.a", "second", 1, last+4); revision != 2 || refused {
		t.Errorf("the present value's put again: revision %d, refused %v", revision, refused)
	}
}

// TestWatchesSkipNothing: from any revision whose later puts are kept, a watch is told all
// of them, in order; from an older one that they are gone.
func TestWatchesSkipNothing(t *testing.T) {
	tables := New()
	if update, err := tables.Since("g.", 0); err != nil || update.Revision != 0 || len(update.Events) != 0 {
		t.Errorf("of an empty group: %+v, %v", update, err)
	}
	for i := range int64(100) {
		tables.put(fmt.Sprint("g.", i%7), fmt.Sprint(i), tables.revisionOf(fmt.Sprint("g.", i%7)), i*500)
	}
	group := tables.Groups["g."]
	oldest := group.History[0]
	if age := 99*500 - oldest.At; age < history || age > 2*history || oldest.Revision != group.Compacted+1 {
		t.Errorf("the oldest put kept is %d ms old, of revision %d after %d", age, oldest.Revision, group.Compacted)
	}
	for after := int64(0); after <= 100; after++ {
		update, err := tables.Since("g.", after)
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
	tables.Forget(1_000_000)
	if update, err := tables.Since("g.", 100); err != nil || update.Revision != 100 {
		t.Errorf("the newest revision can't be resumed from: %+v, %v", update, err)
	}
}

// revisionOf is the revision of a key, 0 if it doesn't exist.
func (t *Tables) revisionOf(key string) int64 {
	value, _ := t.Read(key)
	return value.Revision
}

// TestAnswersOfWatchesAreBounded: the next one goes on where the last one ended.
func TestAnswersOfWatchesAreBounded(t *testing.T) {
	tables := New()
	for i := range int64(2*maxWatchEvents + 10) {
		tables.put("g.a", fmt.Sprint(i), i, i)
	}
	told, after := 0, int64(1)
	for range 3 {
		update, err := tables.Since("g.", after)
		if err != nil || len(update.Events) > maxWatchEvents || update.Events[0].Revision != after+1 {
			t.Fatalf("after %d: %d events, %v", after, len(update.Events), err)
		}
		told, after = told+len(update.Events), update.Revision
	}
	if told != 2*maxWatchEvents+9 {
		t.Errorf("%d events", told)
	}
}

// TestCopiesAreIndependent: what is done to the tables changes no copy, and the other way.
func TestCopiesAreIndependent(t *testing.T) {
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
	if update, _ := copied.Since("g.", 0); len(update.Events) != 1 || copied.revisionOf("g.a") != 1 || copied.revisionOf("h.a") != 0 || copied.Counters["n"] != 1 || len(copied.Locks) != 1 {
		t.Errorf("the copy became %+v", copied)
	}
	if n, err := copied.NextNumber("n"); n != 2 || err != nil {
		t.Errorf("the copy's next number is %d, %v", n, err)
	}
}
