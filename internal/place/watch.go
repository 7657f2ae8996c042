package place

import (
	"container/heap"
	"sort"

	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// watch keeps the runs that may get a copy, by when each is to be looked at
// again, so that a round looks only at those whose time has come.
type watch struct {
	due  dues
	next map[uint64]int64 // when a run is to be looked at; older entries of due are void
	bad  map[string]bool  // workers in trouble at the last round
	full bool             // all runs have been taken up once
}

// dueRun is one run and when it is to be looked at.
type dueRun struct {
	at int64
	id uint64
}

type dues []dueRun

func (d dues) Len() int { return len(d) }
func (d dues) Less(a, b int) bool {
	return d[a].at < d[b].at || d[a].at == d[b].at && d[a].id < d[b].id
}
func (d dues) Swap(a, b int) { d[a], d[b] = d[b], d[a] }

// Push and Pop are those of container/heap.
func (d *dues) Push(x any) { *d = append(*d, x.(dueRun)) }

// Pop takes the last.
func (d *dues) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// take notes new runs of steps that may have copies.
func (q *watch) take(s *store.Store) {
	if q.next == nil {
		q.next = map[uint64]int64{}
	}
	ids := s.Booked()
	if !q.full {
		q.full = true
		ids = ids[:0:0]
		for id := range s.Allocs {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		a := s.Allocs[id]
		if a == nil || q.next[id] != 0 {
			continue
		}
		j := s.Jobs[a.Job]
		if j == nil || !j.Steps[a.Step].Speculative || j.Gang(a.Step) {
			continue
		}
		q.put(id, a.From+tune.CopyLeast.Milliseconds())
	}
}

func (q *watch) put(id uint64, at int64) {
	q.next[id] = max(at, 1)
	heap.Push(&q.due, dueRun{max(at, 1), id})
}

// trouble tells whether a run is in trouble on its worker or long under way,
// and when to look again if it isn't.
func (p *Planner) trouble(s *store.Store, a *store.Alloc, j *store.Job) (bool, int64) {
	st := &j.Steps[a.Step]
	usual, most := float64(st.EstimateMs)*max(p.Usual, 0.5), p.most(j.Lane)
	if q := &j.Insts[a.K].Steps[a.Step]; q.TookN >= 2 {
		// Why rather: tasks of one step are alike, estimates are rough.
		usual, most = float64(q.Took)/float64(q.TookN), tune.CopyAfter
	}
	w := s.Workers[a.Worker]
	if w != nil && w.FarFrom(st.PreferredRack) {
		usual *= s.Far()
	}
	age := float64(s.Clock - a.From)
	bad := w == nil || !w.Bookable() && !w.Draining || p.Quiet[a.Worker] || a.Stopping
	if x, ok := p.Pace(a.Worker, s.Clock); ok && x < tune.PaceSound {
		// Why more: work goes well there, so this is a long task and no slow
		// worker; a copy would take as long.
		most *= tune.CopySure
	}
	late := age > float64(tune.CopyLeast.Milliseconds()) && (age > most*usual || p.Speed[a.Worker] > tune.SlowFrom && age < usual)
	// Why by its age: what runs for long needs no look each moment, and what is
	// about to be late needs one just then.
	pause := max(tune.CopyLook.Milliseconds(), int64(age)/8)
	if left := int64(most*usual-age) + 1; left > 0 {
		pause = min(pause, max(left, tune.CopySoon.Milliseconds()))
	}
	return bad || late, s.Clock + pause
}

// Learn takes note of a run that ended as done. Estimates are rough, and how
// rough differs by route: the factor that CopyRare of the runs exceed is
// followed, one step a run, up where it was exceeded and down where not.
func (p *Planner) Learn(s *store.Store, a *store.Alloc, at int64) {
	j := s.Jobs[a.Job]
	if j == nil || a.Saved != "" || j.Steps[a.Step].EstimateMs <= 0 || j.Steps[a.Step].LongRunning {
		return
	}
	st := &j.Steps[a.Step]
	usual := float64(st.EstimateMs) * max(p.Usual, 0.5)
	near := float64(at - a.From)
	if w := s.Workers[a.Worker]; w != nil && w.FarFrom(st.PreferredRack) {
		usual *= s.Far()
		near /= s.Far()
	}
	p.compare(a, &j.Insts[a.K].Steps[a.Step], near, at)
	f := p.most(j.Lane)
	if float64(at-a.From) > f*usual {
		f *= 1 + tune.CopyStep
	} else {
		f *= 1 - tune.CopyStep*tune.CopyRare
	}
	if p.over == nil {
		p.over = map[string]float64{}
	}
	p.over[j.Lane] = min(max(f, tune.CopyAfter), tune.CopyTop)
}

// most is how many times as long as guessed a run of a route may take.
func (p *Planner) most(lane string) float64 {
	if f := p.over[lane]; f > 0 {
		return f
	}
	return tune.CopyGuess
}

// copies are tasks of steps that allow it whose only run is in trouble: on a
// quiet or sick worker, or much longer under way than usual.
func (p *Planner) copies(s *store.Store) []want {
	q := &p.watch
	q.take(s)
	var ids []uint64
	for len(q.due) > 0 && q.due[0].at <= s.Clock {
		if d := heap.Pop(&q.due).(dueRun); q.next[d.id] == d.at {
			ids = append(ids, d.id)
		}
	}
	now := map[string]bool{}
	for id := range p.Quiet {
		now[id] = true
	}
	for id := range p.Sick {
		now[id] = true
	}
	for id := range now {
		if q.bad[id] {
			continue
		}
		// Why at once: what is known to be in trouble needs no wait.
		for _, a := range s.On(id) {
			if q.next[a.ID] != 0 {
				ids = append(ids, a.ID)
			}
		}
	}
	q.bad = now
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	var out []want
	by := map[string]int{}
	last := uint64(0)
	for _, id := range ids {
		a := s.Allocs[id]
		if a == nil {
			delete(q.next, id)
			continue
		}
		if id == last {
			continue
		}
		last = id
		j := s.Jobs[a.Job]
		if j == nil || j.Off || j.Failed {
			continue
		}
		in := j.Insts[a.K]
		t := &in.Steps[a.Step].Tasks[a.Index]
		ok, again := p.trouble(s, a, j)
		q.put(id, again)
		if t.Done || len(t.Allocs) != 1 || !ok {
			continue
		}
		k := store.TaskName(a.Job, a.K, a.Step, 0)
		i, found := by[k]
		if !found {
			i = len(out)
			by[k] = i
			out = append(out, want{j: j, in: in, step: a.Step, copies: true, not: map[string]bool{}})
		}
		out[i].not[a.Worker] = true
		out[i].tasks = append(out[i].tasks, store.Item{Index: a.Index, Copy: 1 - a.Copy})
	}
	return out
}
