// Package place plans which task goes to which worker. It reads the store and
// never changes it.
package place

import (
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

func init() { store.Replan = replan }

// Planner makes plans and remembers, between them, how much room the urgent
// needed lately.
type Planner struct {
	// Quiet workers get nothing new; Speed is how many times as long work
	// takes on a worker as usual; Usual is that against the estimates.
	Quiet map[string]bool
	// Sick workers are those whose side daemons say so.
	Sick  map[string]bool
	Speed map[string]float64
	Usual float64
	peaks map[store.Kind]*peak
	lack  map[store.Kind]weight
	held  map[store.Kind]weight
	// SaveMs is how much work a run that saves its progress loses at most.
	SaveMs int64
	watch  watch
	over   map[string]float64 // by route, see Learn
	paces  map[string]pace    // by worker
}

// Plan makes plans for what waits, as far as there is room.
func (p *Planner) Plan(s *store.Store) []store.Plan {
	v := look(s, p)
	ws := append(wants(s), p.copies(s)...)
	// Why also when nothing waits: what lacked room a round ago would go on
	// pushing others out.
	p.lack = map[store.Kind]weight{}
	if len(ws) == 0 {
		return nil
	}
	held, all := demand(s, ws)
	p.held = held
	p.note(s.Clock, all)
	var out []store.Plan
	left := tune.PlanTasks
	for _, w := range ws {
		if left <= 0 {
			break
		}
		if v.surely(&w) {
			left--
			continue
		}
		k := store.Kind{Service: w.j.Service, Priority: w.j.Priority}
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
			if st.MemoryMB > 0 {
				n = min(n, int((most.mem-held[k].mem)/float64(st.MemoryMB)))
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
		// Why not by what waits: work that fits nowhere must not keep what
		// would fit from being looked at.
		left -= max(len(q.Items), tune.PlanMiss)
		if len(q.Items) > 0 {
			out = append(out, q)
			held[k] = held[k].add(st.CPUUnits, st.MemoryMB, len(q.Items))
		}
		if n := len(w.tasks) - len(q.Items); n > 0 && w.class < 2 && !w.copies && s.Clock-w.in.Steps[w.step].Since >= tune.PushAfter.Milliseconds() {
			p.lack[k] = p.lack[k].add(st.CPUUnits, st.MemoryMB, n)
		}
	}
	return out
}

func cpuOf(w want) int64 { return w.j.Steps[w.step].CPUUnits }

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
	q := lookAll(s).fit(w)
	return q, len(q.Items) > 0
}
