package state

import (
	"slices"
	"testing"
)

// TestSavepointsRollBackInReverse checks that a failed savepoint undoes its own changes and
// those of nested savepoints, in reverse order, and no others.
func TestSavepointsRollBackInReverse(t *testing.T) {
	for _, c := range []struct {
		name         string
		inner, outer bool // whether they succeed
		want         []string
	}{
		{"both succeed", true, true, nil},
		{"the inner fails", false, true, []string{"b"}},
		{"the outer fails", true, false, []string{"c", "b", "a"}},
		{"both fail", false, false, []string{"b", "c", "a"}},
	} {
		s := New(Limits{})
		var undone []string
		change := func(name string) { s.recordUndo(func() { undone = append(undone, name) }) }
		change("outside any savepoint")
		outer := s.savepoint(func() bool {
			change("a")
			inner := s.savepoint(func() bool {
				change("b")
				return c.inner
			})
			if inner != c.inner {
				t.Errorf("%s: the inner savepoint returned %v", c.name, inner)
			}
			change("c")
			return c.outer
		})
		if outer != c.outer || !slices.Equal(undone, c.want) {
			t.Errorf("%s: returned %v and undid %v, want %v undone", c.name, outer, undone, c.want)
		}
		if s.undoLog != nil {
			t.Errorf("%s: a savepoint is still open", c.name)
		}
	}
}
