// Package place plans which task goes to which worker. It reads the store and
// never changes it.
package place

import (
	"math"
	"sort"

	"tealpond/internal/store"
	"tealpond/internal/tune"
)

func init() { store.Replan = replan }

// view is the room that a plan has left.
type view struct {
	s    *store.Store
	ws   []*slot
	rack map[string]string
}

type slot struct {
	w        *store.Worker
	cpu, mem int64
	gpu      int
	apart    map[string]int
}

func look(s *store.Store) *view {
	v := &view{s: s}
	for _, w := range s.Workers {
		if !w.Bookable() || w.ShunTill > s.Clock {
			continue
		}
		sl := &slot{w: w, cpu: w.FreeCPU(), mem: w.FreeMem()}
		if w.Room.GPUs > 0 {
			used := 0
			for _, a := range s.On(w.ID) {
				used += len(a.GPUs)
			}
			sl.gpu = w.Room.GPUs - used
		}
		v.ws = append(v.ws, sl)
	}
	sort.Slice(v.ws, func(a, b int) bool { return v.ws[a].w.ID < v.ws[b].w.ID })
	return v
}

// want is one step that has tasks to place.
type want struct {
	j     *store.Job
	in    *store.Inst
	step  int
	tasks []store.Item
	slack int64
}

func chain(j *store.Job) int64 {
	best := int64(0)
	ends := make([]int64, len(j.Steps))
	for i, st := range j.Steps {
		from := int64(0)
		for _, d := range st.DependsOn {
			from = max(from, ends[d])
		}
		ends[i] = from + st.EstimateMs
		best = max(best, ends[i])
	}
	return best
}

// Wants lists what waits, the most urgent first.
func wants(s *store.Store) []want {
	var out []want
	for _, j := range s.Open() {
		aim := int64(0)
		for _, in := range j.Insts {
			if in.Failed || in.Left == 0 {
				continue
			}
			for i := range in.Steps {
				st := &in.Steps[i]
				if !st.Ready || st.Left == 0 {
					continue
				}
				w := want{j: j, in: in, step: i}
				if j.Gang(i) {
					w.tasks = gangTasks(st)
				} else {
					for x := range st.Tasks {
						t := &st.Tasks[x]
						if !t.Done && len(t.Allocs) == 0 {
							w.tasks = append(w.tasks, store.Item{Index: x})
						}
					}
				}
				if len(w.tasks) == 0 {
					continue
				}
				if aim == 0 {
					aim = int64(j.Stretch*float64(chain(j))) + j.TargetMs
				}
				w.slack = in.Born + aim - s.Clock
				out = append(out, w)
			}
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].j.Priority != out[b].j.Priority {
			return out[a].j.Priority < out[b].j.Priority
		}
		return out[a].slack < out[b].slack
	})
	return out
}

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

// Planner makes plans and remembers, between them, how much room the urgent
// needed lately.
type Planner struct {
	peaks map[peakKey]*peak
}

type peakKey struct {
	service  string
	priority int
}

// peak is the highest demand of one priority, sinking as it ages.
type peak struct {
	cpu float64
	at  int64
}

// demand is the room that each priority of a service holds or waits for.
func demand(s *store.Store, ws []want) map[peakKey]int64 {
	out := map[peakKey]int64{}
	for _, a := range s.Allocs {
		if j := s.Jobs[a.Job]; j != nil {
			out[peakKey{j.Service, j.Priority}] += a.CPU
		}
	}
	for _, w := range ws {
		out[peakKey{w.j.Service, w.j.Priority}] += int64(len(w.tasks)) * w.j.Steps[w.step].CPUUnits
	}
	return out
}

// note lets old peaks sink and raises them to the demand of now.
func (p *Planner) note(now int64, d map[peakKey]int64) {
	if p.peaks == nil {
		p.peaks = map[peakKey]*peak{}
	}
	for k, v := range d {
		if p.peaks[k] == nil {
			p.peaks[k] = &peak{at: now}
		}
		_ = v
	}
	for k, q := range p.peaks {
		q.cpu *= math.Exp(-float64(now-q.at) / float64(tune.PeakFade.Milliseconds()))
		q.at = now
		q.cpu = max(q.cpu, float64(d[k]))
	}
}

// kept is the room that a priority must leave to those before it.
func (p *Planner) kept(service string, priority int) float64 {
	sum := 0.0
	for k, q := range p.peaks {
		if k.service == service && k.priority < priority {
			sum += q.cpu
		}
	}
	return sum
}

// Plan makes plans for what waits, as far as there is room.
func (p *Planner) Plan(s *store.Store) []store.Plan {
	v := look(s)
	ws := wants(s)
	if len(ws) == 0 {
		return nil
	}
	d := demand(s, ws)
	p.note(s.Clock, d)
	var out []store.Plan
	left := tune.PlanTasks
	held := map[peakKey]int64{}
	for _, a := range s.Allocs {
		if j := s.Jobs[a.Job]; j != nil {
			held[peakKey{j.Service, j.Priority}] += a.CPU
		}
	}
	for _, w := range ws {
		if left <= 0 {
			break
		}
		left -= len(w.tasks)
		k := peakKey{w.j.Service, w.j.Priority}
		cpu := w.j.Steps[w.step].CPUUnits
		if most := p.share(s, w); most >= 0 && cpu > 0 {
			// Why fewer tasks and not none: what fits under the share runs.
			n := int((most - held[k]) / cpu)
			if held[k] == 0 {
				n = max(n, 1)
			}
			if n <= 0 || n < len(w.tasks) && w.j.Gang(w.step) && held[k] > 0 {
				continue
			}
			if n < len(w.tasks) && !w.j.Gang(w.step) {
				w.tasks = w.tasks[:n]
			}
		}
		if q := v.fit(w); len(q.Items) > 0 {
			out = append(out, q)
			held[k] += int64(len(q.Items)) * cpu
		}
	}
	return out
}

// share is the room that tasks of this kind may hold at most, below 0 if any.
// Long work that can wait leaves room for the urgent work that is foreseen.
func (p *Planner) share(s *store.Store, w want) int64 {
	st := w.j.Steps[w.step]
	if st.EstimateMs < tune.LongTask.Milliseconds() {
		return -1
	}
	kept := p.kept(w.j.Service, w.j.Priority)
	if kept == 0 {
		return -1
	}
	cpu, _ := s.Room(w.j.Service)
	least := tune.ShareLeast
	if w.slack < chain(w.j) {
		// Why more: it misses its aim if it waits longer.
		least = tune.ShareLate
	}
	return int64(max(float64(cpu)-kept, float64(cpu)*least))
}

func replan(s *store.Store, p store.Plan) (store.Plan, bool) {
	j := s.Jobs[p.Job]
	if j == nil || p.K >= len(j.Insts) {
		return p, false
	}
	w := want{j: j, in: j.Insts[p.K], step: p.Step}
	for _, it := range p.Items {
		t := &w.in.Steps[p.Step].Tasks[it.Index]
		if !t.Done && (len(t.Allocs) == 0 || it.Copy > 0) {
			w.tasks = append(w.tasks, store.Item{Index: it.Index, Copy: it.Copy})
		}
	}
	q := look(s).fit(w)
	return q, len(q.Items) > 0
}

// fit places a step's tasks; a gang whole or not at all.
func (v *view) fit(w want) store.Plan {
	st := w.j.Steps[w.step]
	p := store.Plan{Job: w.j.ID, K: w.in.K, Step: w.step, Whole: st.AllTogether}
	if st.AllTogether && st.SameRack {
		if q, ok := v.oneRack(w, p); ok {
			return q
		}
	}
	items, undo := v.fill(w, "")
	if st.AllTogether && len(items) < len(w.tasks) {
		undo()
		return store.Plan{}
	}
	p.Items = items
	return p
}

func (v *view) oneRack(w want, p store.Plan) (store.Plan, bool) {
	seen := map[string]bool{}
	for _, sl := range v.ws {
		r := sl.w.Rack()
		if seen[r] {
			continue
		}
		seen[r] = true
		items, undo := v.fill(w, r)
		if len(items) == len(w.tasks) {
			p.Items = items
			return p, true
		}
		undo()
	}
	return p, false
}

// fill places as many tasks as fit, on one rack if one is named.
func (v *view) fill(w want, rack string) ([]store.Item, func()) {
	st := w.j.Steps[w.step]
	var items []store.Item
	var took []*slot
	key := store.TaskName(w.j.ID, w.in.K, w.step, 0)
	for _, it := range w.tasks {
		best, score := (*slot)(nil), math.Inf(1)
		for _, sl := range v.ws {
			if sl.cpu < st.CPUUnits || sl.mem < st.MemMb || sl.gpu < st.GPUs || rack != "" && sl.w.Rack() != rack {
				continue
			}
			if !v.s.Fits(w.j, w.step, sl.w) {
				continue
			}
			if sl.w.LeavesAt > 0 && sl.w.LeavesAt < v.s.Clock+st.EstimateMs {
				continue
			}
			if st.ApartFrom > 0 && v.apart(sl, w, key) >= st.ApartFrom {
				continue
			}
			if c := v.cost(sl, w); c < score {
				best, score = sl, c
			}
		}
		if best == nil {
			if len(items) == 0 || st.AllTogether {
				break
			}
			continue
		}
		best.cpu -= st.CPUUnits
		best.mem -= st.MemMb
		best.gpu -= st.GPUs
		if st.ApartFrom > 0 {
			best.apart[key]++
		}
		it.Worker, it.Ver = best.w.ID, best.w.Ver
		items = append(items, it)
		took = append(took, best)
	}
	return items, func() {
		for _, sl := range took {
			sl.cpu += st.CPUUnits
			sl.mem += st.MemMb
			sl.gpu += st.GPUs
			if st.ApartFrom > 0 {
				sl.apart[key]--
			}
		}
	}
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

// cost is the time a task is likely to take there, and how full it gets.
func (v *view) cost(sl *slot, w want) float64 {
	st := w.j.Steps[w.step]
	t := 1.0
	if sl.w.Speed > 0 {
		t = float64(sl.w.Speed) / 100
	}
	if st.NearTo != "" && !sl.w.Has(st.NearTo) {
		t *= 1.5
	}
	cpu := float64(sl.cpu-st.CPUUnits) / float64(max(sl.w.Room.CPUUnits, 1))
	mem := float64(sl.mem-st.MemMb) / float64(max(sl.w.Room.MemMb, 1))
	// Why fullest first: large holes are kept for large tasks.
	return t*10 + (cpu+mem)/2
}
