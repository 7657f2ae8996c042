package place

import (
	"math"
	"sort"

	"tealpond/internal/protocol"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// view is the room that a plan has left. It holds a slot for each worker that
// it looked at, and all of them only where a service has few.
type view struct {
	s     *store.Store
	p     *Planner
	slots map[string]*slot
	all   map[string][]*slot // by service, where all are looked at
	whole bool
	full  map[string][]store.Sum // sizes that fit on no worker of a service
}

type slot struct {
	w        *store.Worker
	out      bool // takes nothing new at the moment
	cpu, mem int64
	gpu      int
	apart    map[string]int
}

func look(s *store.Store, p *Planner) *view {
	return &view{s: s, p: p, slots: map[string]*slot{}, all: map[string][]*slot{}, full: map[string][]store.Sum{}}
}

// surely tells that a step fits nowhere: a smaller one did not, and a plan only
// takes room.
func (v *view) surely(w *want) bool {
	st := &w.j.Steps[w.step]
	for _, x := range v.full[w.j.Service] {
		if st.CPUUnits >= x.CPU && st.MemoryMB >= x.Mem {
			return true
		}
	}
	return false
}

// missed notes the size of a step that fits nowhere for its size alone.
func (v *view) missed(w *want) {
	st := &w.j.Steps[w.step]
	// Why not of the first class: it may pass over slow workers.
	if len(st.RequiredLabels) == 0 && st.MaxPerWorker == 0 && st.GPUs == 0 && !w.copies && w.class > 0 {
		v.full[w.j.Service] = append(v.full[w.j.Service], store.Sum{CPU: st.CPUUnits, Mem: st.MemoryMB})
	}
}

// lookAll is a view that looks at every worker, in the order of their names:
// what it finds is the same on each copy of the state.
func lookAll(s *store.Store) *view {
	v := look(s, nil)
	v.whole = true
	return v
}

// slot is a worker's, made when it is first looked at.
func (v *view) slot(w *store.Worker) *slot {
	if sl := v.slots[w.ID]; sl != nil {
		return sl
	}
	sl := &slot{w: w, cpu: w.FreeCPU(), mem: w.FreeMem()}
	sl.out = !w.Bookable() || w.ShunTill > v.s.Clock || v.p != nil && v.p.Quiet[w.ID]
	if w.Room.GPUs > 0 {
		used := 0
		for _, a := range v.s.On(w.ID) {
			used += len(a.GPUs)
		}
		sl.gpu = w.Room.GPUs - used
	}
	v.slots[w.ID] = sl
	return sl
}

// few gives all slots of a service if it has few workers, by name.
func (v *view) few(service string) ([]*slot, bool) {
	if _, n := v.s.Bookable(service); n > tune.LookAtAll && !v.whole {
		return nil, false
	}
	if v.all[service] == nil {
		out := []*slot{}
		for _, w := range v.s.Workers {
			if w.Service == service && w.Bookable() {
				out = append(out, v.slot(w))
			}
		}
		sort.Slice(out, func(a, b int) bool { return out[a].w.ID < out[b].w.ID })
		v.all[service] = out
	}
	return v.all[service], true
}

// fits tells whether one task of a step fits there now.
func (v *view) fits(sl *slot, w *want, st *protocol.Step, rack, key string) bool {
	switch {
	case sl.out, sl.cpu < st.CPUUnits, sl.mem < st.MemoryMB, sl.gpu < st.GPUs, rack != "" && sl.w.Rack() != rack:
		return false
	case w.not[sl.w.ID], !v.s.Fits(w.j, w.step, sl.w):
		return false
	case sl.w.LeavesAt > 0 && sl.w.LeavesAt < v.s.Clock+st.EstimateMs:
		return false
	case st.MaxPerWorker > 0 && v.apart(sl, *w, key) >= st.MaxPerWorker:
		return false
	}
	return !v.tooSlow(sl, *w)
}

// candidates are the slots that one task may go to: all that fit where a
// service has few workers; else those near its data and the fullest that fit.
func (v *view) candidates(w *want, st *protocol.Step, rack, key string) []*slot {
	if all, ok := v.few(w.j.Service); ok {
		return all
	}
	var out []*slot
	add := func(x *store.Worker) bool {
		if sl := v.slot(x); v.fits(sl, w, st, rack, key) {
			out = append(out, sl)
		}
		return len(out) < tune.Candidates
	}
	if rack != "" {
		for _, x := range v.s.Labelled(w.j.Service, rack) {
			add(x)
		}
		return out
	}
	if st.PreferredRack != "" {
		for _, x := range v.s.Labelled(w.j.Service, st.PreferredRack) {
			add(x)
		}
		if len(out) > 0 {
			// Why these alone: anywhere else it takes longer.
			return out
		}
	}
	if len(st.RequiredLabels) > 0 {
		least := v.s.Labelled(w.j.Service, st.RequiredLabels[0])
		for _, l := range st.RequiredLabels[1:] {
			if x := v.s.Labelled(w.j.Service, l); len(x) < len(least) {
				least = x
			}
		}
		for _, x := range least {
			if !add(x) {
				break
			}
		}
		return out
	}
	v.s.Freest(w.j.Service, st.CPUUnits, add)
	return out
}

// fit places a step's tasks; a gang whole or not at all.
func (v *view) fit(w want) store.Plan {
	st := w.j.Steps[w.step]
	p := store.Plan{Job: w.j.ID, K: w.in.K, Step: w.step, Whole: st.Gang}
	if st.Gang && st.SameRack {
		if q, ok := v.oneRack(w, p); ok {
			return q
		}
	}
	items, undo := v.fill(w, "")
	if st.Gang && len(items) < len(w.tasks) {
		undo()
		return store.Plan{}
	}
	p.Items = items
	return p
}

// oneRack places all of a gang on one rack, if one has the room.
func (v *view) oneRack(w want, p store.Plan) (store.Plan, bool) {
	st := &w.j.Steps[w.step]
	free, racks := map[string]int64{}, []string{}
	note := func(x *store.Worker) {
		r := x.Rack()
		if _, ok := free[r]; !ok {
			racks = append(racks, r)
		}
		free[r] += v.slot(x).cpu
	}
	if all, ok := v.few(w.j.Service); ok {
		for _, sl := range all {
			note(sl.w)
		}
	} else {
		v.s.Freest(w.j.Service, st.CPUUnits, func(x *store.Worker) bool { note(x); return true })
	}
	sort.SliceStable(racks, func(a, b int) bool {
		// Why first where the data is: it works faster there.
		return racks[a] == st.PreferredRack && racks[b] != st.PreferredRack
	})
	for _, r := range racks {
		if free[r] < st.CPUUnits*int64(len(w.tasks)) {
			continue
		}
		items, undo := v.fill(w, r)
		if len(items) == len(w.tasks) {
			p.Items = items
			return p, true
		}
		undo()
	}
	return p, false
}

// fill places as many tasks as fit, on one rack if one is named. Tasks of a
// step are alike: the worker that is best for one stays the best, as it gets
// fuller, until no more fit there.
func (v *view) fill(w want, rack string) ([]store.Item, func()) {
	st := &w.j.Steps[w.step]
	var items []store.Item
	var took []*slot
	key := store.TaskName(w.j.ID, w.in.K, w.step, 0)
	var can []*slot
	best := (*slot)(nil)
	for _, it := range w.tasks {
		if best == nil || !v.fits(best, &w, st, rack, key) {
			best = v.best(can, &w, st, rack, key)
			if best == nil {
				can = v.candidates(&w, st, rack, key)
				best = v.best(can, &w, st, rack, key)
			}
		}
		if best == nil {
			if rack == "" && (len(items) == 0 || !st.Gang) {
				v.missed(&w)
			}
			break
		}
		best.cpu -= st.CPUUnits
		best.mem -= st.MemoryMB
		best.gpu -= st.GPUs
		if st.MaxPerWorker > 0 {
			best.apart[key]++
		}
		it.Worker, it.Ver = best.w.ID, best.w.Ver
		items = append(items, it)
		took = append(took, best)
	}
	return items, func() {
		for _, sl := range took {
			sl.cpu += st.CPUUnits
			sl.mem += st.MemoryMB
			sl.gpu += st.GPUs
			if st.MaxPerWorker > 0 {
				sl.apart[key]--
			}
		}
	}
}

func (v *view) best(can []*slot, w *want, st *protocol.Step, rack, key string) *slot {
	best, score := (*slot)(nil), math.Inf(1)
	for _, sl := range can {
		if !v.fits(sl, w, st, rack, key) {
			continue
		}
		if c := v.cost(sl, *w); c < score {
			best, score = sl, c
		}
	}
	return best
}

func (v *view) apart(sl *slot, w want, key string) int {
	if sl.apart == nil {
		sl.apart = map[string]int{}
	}
	n, ok := sl.apart[key]
	if !ok {
		n = v.s.Apart(w.j.ID, w.in.K, w.step, sl.w.ID)
		sl.apart[key] = n
	}
	return n
}

func (v *view) speed(sl *slot) float64 {
	if v.p == nil {
		return 1
	}
	// Why coarse: estimates are rough, and small differences are noise.
	if f := v.p.Speed[sl.w.ID]; f > 1.5 {
		return f
	}
	return 1
}

// tooSlow passes over a slow worker for a task that can meet its aim
// elsewhere, a little later, but not there.
func (v *view) tooSlow(sl *slot, w want) bool {
	f := v.speed(sl)
	if f < tune.SlowFrom || v.p == nil {
		return false
	}
	est := float64(w.j.Steps[w.step].EstimateMs) * max(v.p.Usual, 0.5)
	return w.copies || w.class == 0 && est*f > est+float64(max(w.slack-w.j.Rest(w.in), 0))
}

// cost is the time a task is likely to take there, and how full it gets.
func (v *view) cost(sl *slot, w want) float64 {
	st := w.j.Steps[w.step]
	t := v.speed(sl)
	if sl.w.FarFrom(st.PreferredRack) {
		t *= v.s.Far()
	}
	cpu := float64(sl.cpu-st.CPUUnits) / float64(max(sl.w.Room.CPUUnits, 1))
	mem := float64(sl.mem-st.MemoryMB) / float64(max(sl.w.Room.MemoryMB, 1))
	// Why fullest first: large holes are kept for large tasks.
	return t*10 + (cpu+mem)/2
}
