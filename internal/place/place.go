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
	p    *Planner
	ws   []*slot
	rack map[string]string
}

type slot struct {
	w        *store.Worker
	cpu, mem int64
	gpu      int
	apart    map[string]int
}

func look(s *store.Store, p *Planner) *view {
	v := &view{s: s, p: p}
	for _, w := range s.Workers {
		if !w.Bookable() || w.ShunTill > s.Clock || p != nil && p.Quiet[w.ID] {
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
	slack int64 // to the aim
	class int   // 0: can meet its aim, 1: can still be late, 2: too late
	due   int64
	// copies of runs in trouble go to none of the workers in not.
	copies bool
	not    map[string]bool
}

// Wants lists what waits, the most urgent first.
func wants(s *store.Store) []want {
	var out []want
	for _, j := range s.Open() {
		if j.Away() {
			continue
		}
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
					aim = j.Aim()
				}
				w.slack = in.Born + aim - s.Clock
				w.class, w.due = classOf(s.Clock, in.Born, aim, j.Rest(in))
				out = append(out, w)
			}
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].j.Priority != out[b].j.Priority {
			return out[a].j.Priority < out[b].j.Priority
		}
		if out[a].class != out[b].class {
			return out[a].class < out[b].class
		}
		return out[a].due < out[b].due
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

// Planner makes plans and remembers, between them, how much room the urgent
// needed lately.
type Planner struct {
	// Quiet workers get nothing new; Speed is how many times as long work
	// takes on a worker as usual; Usual is that against the estimates.
	Quiet map[string]bool
	Speed map[string]float64
	Usual float64
	peaks map[peakKey]*peak
	lack  map[peakKey]weight
	held  map[peakKey]weight
	// SaveMs is how much work a run that saves its progress loses at most.
	SaveMs int64
}

type peakKey struct {
	service  string
	priority int
}

// weight is an amount of both kinds of room.
type weight struct{ cpu, mem float64 }

func (w weight) add(cpu, mem int64, n int) weight {
	return weight{w.cpu + float64(cpu)*float64(n), w.mem + float64(mem)*float64(n)}
}

// peak is the highest demand of one priority, sinking as it ages.
type peak struct {
	weight
	at int64
}

// demand is the room that each priority of a service holds, and with what
// waits for it.
func demand(s *store.Store, ws []want) (held, all map[peakKey]weight) {
	held, all = map[peakKey]weight{}, map[peakKey]weight{}
	for _, a := range s.Allocs {
		if j := s.Jobs[a.Job]; j != nil {
			k := peakKey{j.Service, j.Priority}
			held[k] = held[k].add(a.CPU, a.Mem, 1)
		}
	}
	for k, v := range held {
		all[k] = v
	}
	for _, w := range ws {
		st := w.j.Steps[w.step]
		k := peakKey{w.j.Service, w.j.Priority}
		all[k] = all[k].add(st.CPUUnits, st.MemMb, len(w.tasks))
	}
	return held, all
}

// note lets old peaks sink and raises them to the demand of now.
func (p *Planner) note(now int64, all map[peakKey]weight) {
	if p.peaks == nil {
		p.peaks = map[peakKey]*peak{}
	}
	for k := range all {
		if p.peaks[k] == nil {
			p.peaks[k] = &peak{at: now}
		}
	}
	for k, q := range p.peaks {
		f := math.Exp(-float64(now-q.at) / float64(tune.PeakFade.Milliseconds()))
		q.at = now
		q.cpu = max(q.cpu*f, all[k].cpu)
		q.mem = max(q.mem*f, all[k].mem)
	}
}

// kept is the room that a priority must leave to those before it.
func (p *Planner) kept(service string, priority int) weight {
	sum := weight{}
	for k, q := range p.peaks {
		if k.service == service && k.priority < priority {
			sum.cpu += q.cpu
			sum.mem += q.mem
		}
	}
	return sum
}

// Plan makes plans for what waits, as far as there is room.
func (p *Planner) Plan(s *store.Store) []store.Plan {
	v := look(s, p)
	ws := append(wants(s), p.copies(s)...)
	if len(ws) == 0 {
		return nil
	}
	p.lack = map[peakKey]weight{}
	held, all := demand(s, ws)
	p.held = held
	p.note(s.Clock, all)
	var out []store.Plan
	left := tune.PlanTasks
	for _, w := range ws {
		if left <= 0 {
			break
		}
		left -= len(w.tasks)
		k := peakKey{w.j.Service, w.j.Priority}
		st := w.j.Steps[w.step]
		if left, ok := s.GuestRoom(w.j); ok && len(w.tasks) > 0 {
			n := int(left / max(cpuOf(w), 1))
			if n == 0 && left > 0 {
				n = 1
			}
			if n < len(w.tasks) && w.j.Gang(w.step) || n == 0 {
				continue
			}
			w.tasks = w.tasks[:min(n, len(w.tasks))]
		}
		if most, ok := p.share(s, w, held); ok {
			// Why fewer tasks and not none: what fits under the share runs.
			n := len(w.tasks)
			if st.CPUUnits > 0 {
				n = min(n, int((most.cpu-held[k].cpu)/float64(st.CPUUnits)))
			}
			if st.MemMb > 0 {
				n = min(n, int((most.mem-held[k].mem)/float64(st.MemMb)))
			}
			if held[k].cpu == 0 {
				n = max(n, 1)
			}
			if n <= 0 || n < len(w.tasks) && w.j.Gang(w.step) && held[k].cpu > 0 {
				continue
			}
			if n < len(w.tasks) && !w.j.Gang(w.step) {
				w.tasks = w.tasks[:n]
			}
		}
		q := v.fit(w)
		if len(q.Items) > 0 {
			out = append(out, q)
			held[k] = held[k].add(st.CPUUnits, st.MemMb, len(q.Items))
		}
		if n := len(w.tasks) - len(q.Items); n > 0 && w.class < 2 && !w.copies && s.Clock-w.in.Steps[w.step].Since >= tune.PushAfter.Milliseconds() {
			p.lack[k] = p.lack[k].add(st.CPUUnits, st.MemMb, n)
		}
	}
	return out
}

// Pushes are the runs to stop so that more urgent work, which waits already,
// finds room: those that lose least unsaved work, and none that lose much.
func (p *Planner) Pushes(s *store.Store) []uint64 {
	if len(p.lack) == 0 {
		return nil
	}
	var lacks []peakKey
	for k := range p.lack {
		lacks = append(lacks, k)
	}
	sort.Slice(lacks, func(a, b int) bool { return lacks[a].priority < lacks[b].priority })
	type victim struct {
		a    *store.Alloc
		j    *store.Job
		lost int64
	}
	var vs []victim
	freed := map[string]weight{}
	for _, a := range s.Allocs {
		j := s.Jobs[a.Job]
		if j == nil {
			continue
		}
		st := j.Steps[a.Step]
		if a.Stopping {
			freed[j.Service] = freed[j.Service].add(a.CPU, a.Mem, 1)
			continue
		}
		lost := s.Clock - a.From
		if st.Checkpoints {
			lost = min(lost, p.SaveMs)
		}
		if st.EstimateMs < tune.LongTask.Milliseconds() || st.AllTogether || st.LongRunning || lost > tune.PushLoss.Milliseconds() {
			continue
		}
		vs = append(vs, victim{a, j, lost})
	}
	sort.Slice(vs, func(a, b int) bool {
		if vs[a].lost != vs[b].lost {
			return vs[a].lost < vs[b].lost
		}
		return vs[a].a.ID < vs[b].a.ID
	})
	var out []uint64
	for _, k := range lacks {
		need, own := p.lack[k], p.held[k]
		// Why less: its own kind gives so much back before a stop would.
		need.cpu -= tune.PushOwn * own.cpu
		need.mem -= tune.PushOwn * own.mem
		got := freed[k.service]
		for _, v := range vs {
			if got.cpu >= need.cpu && got.mem >= need.mem {
				break
			}
			if v.j.Service != k.service || v.j.Priority <= k.priority {
				continue
			}
			out = append(out, v.a.ID)
			got = got.add(v.a.CPU, v.a.Mem, 1)
		}
	}
	return out
}

func cpuOf(w want) int64 { return w.j.Steps[w.step].CPUUnits }

// share is the room that tasks of this kind may hold at most, if there is a
// bound. Long work that can wait leaves room for the urgent work foreseen.
func (p *Planner) share(s *store.Store, w want, held map[peakKey]weight) (weight, bool) {
	st := w.j.Steps[w.step]
	if st.EstimateMs < tune.LongTask.Milliseconds() {
		return weight{}, false
	}
	kept := p.kept(w.j.Service, w.j.Priority)
	if kept.cpu == 0 {
		return weight{}, false
	}
	room := weight{}
	for _, x := range s.Workers {
		if x.Service == w.j.Service && x.Bookable() {
			room = room.add(x.Room.CPUUnits, x.Room.MemMb, 1)
		}
	}
	least := tune.ShareLeast
	if w.slack < w.j.Chain() {
		// Why more: it misses its aim if it waits longer.
		least = tune.ShareLate
	}
	most := weight{max(room.cpu-kept.cpu, room.cpu*least), max(room.mem-kept.mem, room.mem*least)}
	// Why whatever is foreseen: a job must not wait beside room that is
	// mostly free (the rule LOST).
	var others weight
	for k, h := range held {
		if k.service == w.j.Service && k.priority != w.j.Priority {
			others.cpu += h.cpu
			others.mem += h.mem
		}
	}
	most.cpu = max(most.cpu, room.cpu*tune.ShareFree-others.cpu)
	most.mem = max(most.mem, room.mem*tune.ShareFree-others.mem)
	return most, true
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
	q := look(s, nil).fit(w)
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
			if w.not[sl.w.ID] || !v.s.Fits(w.j, w.step, sl.w) {
				continue
			}
			if sl.w.LeavesAt > 0 && sl.w.LeavesAt < v.s.Clock+st.EstimateMs {
				continue
			}
			if st.ApartFrom > 0 && v.apart(sl, w, key) >= st.ApartFrom {
				continue
			}
			if v.tooSlow(sl, w) {
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

// copies are tasks of steps that allow it whose only run is in trouble: on a
// quiet or sick worker, or much longer under way than usual.
func (p *Planner) copies(s *store.Store) []want {
	var out []want
	by := map[string]int{}
	ids := make([]uint64, 0, len(s.Allocs))
	for id := range s.Allocs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, id := range ids {
		a := s.Allocs[id]
		j := s.Jobs[a.Job]
		if j == nil || !j.Steps[a.Step].Twice || j.Gang(a.Step) || j.Off || j.Failed {
			continue
		}
		in := j.Insts[a.K]
		t := &in.Steps[a.Step].Tasks[a.Index]
		if t.Done || len(t.Allocs) != 1 {
			continue
		}
		w := s.Workers[a.Worker]
		st := j.Steps[a.Step]
		usual, most := float64(st.EstimateMs)*max(p.Usual, 0.5), tune.CopyGuess
		if q := in.Steps[a.Step]; q.TookN >= 2 {
			// Why rather: tasks of one step are alike, estimates are rough.
			usual, most = float64(q.Took)/float64(q.TookN), tune.CopyAfter
		}
		if w != nil && w.FarFrom(st.NearTo) {
			usual *= s.Far()
		}
		age := float64(s.Clock - a.From)
		bad := w == nil || !w.Bookable() && !w.Draining || p.Quiet[a.Worker] || a.Stopping
		late := age > float64(tune.CopyLeast.Milliseconds()) && (age > most*usual || p.Speed[a.Worker] > tune.SlowFrom && age < usual)
		if !bad && !late {
			continue
		}
		k := store.TaskName(a.Job, a.K, a.Step, 0)
		i, ok := by[k]
		if !ok {
			i = len(out)
			by[k] = i
			out = append(out, want{j: j, in: in, step: a.Step, copies: true, not: map[string]bool{}})
		}
		out[i].not[a.Worker] = true
		out[i].tasks = append(out[i].tasks, store.Item{Index: a.Index, Copy: 1 - a.Copy})
	}
	return out
}

// cost is the time a task is likely to take there, and how full it gets.
func (v *view) cost(sl *slot, w want) float64 {
	st := w.j.Steps[w.step]
	t := v.speed(sl)
	if sl.w.FarFrom(st.NearTo) {
		t *= v.s.Far()
	}
	cpu := float64(sl.cpu-st.CPUUnits) / float64(max(sl.w.Room.CPUUnits, 1))
	mem := float64(sl.mem-st.MemMb) / float64(max(sl.w.Room.MemMb, 1))
	// Why fullest first: large holes are kept for large tasks.
	return t*10 + (cpu+mem)/2
}
