package place

import (
	"sort"

	"tealpond/internal/store"
)

// want is one step that has tasks to place.
type want struct {
	j     *store.Job
	in    *store.Inst
	step  int
	tasks []store.Item
	slack int64 // to the aim
	class int   // 0: can meet its aim, 1: can still be late, 2: too late
	due   int64
	// copies of runs in trouble go to none of the workers in not.
	copies bool
	not    map[string]bool
}

// wants lists what waits, the most urgent first. It looks only at steps that
// changed so that something of them may wait.
func wants(s *store.Store) []want {
	var out []want
	s.EachStep(func(j *store.Job, in *store.Inst, step int) bool {
		st := &in.Steps[step]
		if in.Failed || in.Left == 0 || !st.Ready || st.Left == 0 {
			return false
		}
		w := want{j: j, in: in, step: step}
		if j.Gang(step) {
			w.tasks = gangTasks(st)
		} else {
			for x := range st.Tasks {
				if t := &st.Tasks[x]; !t.Done && len(t.Allocs) == 0 {
					w.tasks = append(w.tasks, store.Item{Index: x})
				}
			}
		}
		if len(w.tasks) == 0 {
			return false
		}
		if j.Away() {
			return true
		}
		aim := j.Aim()
		w.slack = in.Born + aim - s.Clock
		w.class, w.due = classOf(s.Clock, in.Born, aim, j.Rest(in))
		out = append(out, w)
		return true
	})
	sort.Slice(out, func(a, b int) bool {
		x, y := &out[a], &out[b]
		switch {
		case x.j.Priority != y.j.Priority:
			return x.j.Priority < y.j.Priority
		case x.class != y.class:
			return x.class < y.class
		case x.due != y.due:
			return x.due < y.due
		case x.j.Seq != y.j.Seq:
			return x.j.Seq < y.j.Seq
		case x.in.K != y.in.K:
			return x.in.K < y.in.K
		}
		return x.step < y.step
	})
	return out
}

// classOf tells what a job can still earn, and by when. Why first those that
// can meet their aim: one that is late already gains nothing by being sooner.
func classOf(now, born, aim, rest int64) (int, int64) {
	switch {
	case now+rest <= born+aim:
		return 0, born + aim - rest
	case now+rest <= born+lateFactor*aim:
		return 1, born + lateFactor*aim - rest
	}
	return 2, born
}

// lateFactor is how many times its aim a job may take and still count as late
// (the rules' own figure).
const lateFactor = 3

// gangTasks are all of a gang, or none while a member still holds its room.
func gangTasks(st *store.StepState) []store.Item {
	var out []store.Item
	for x := range st.Tasks {
		if len(st.Tasks[x].Allocs) > 0 {
			return nil
		}
		out = append(out, store.Item{Index: x})
	}
	return out
}
