package place

import (
	"math"

	"tealpond/internal/store"
	"tealpond/internal/tune"
)

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
func demand(s *store.Store, ws []want) (held, all map[store.Kind]weight) {
	held, all = map[store.Kind]weight{}, map[store.Kind]weight{}
	for k, h := range s.Held() {
		held[k] = weight{float64(h.CPU), float64(h.Mem)}
		all[k] = held[k]
	}
	for _, w := range ws {
		st := w.j.Steps[w.step]
		k := store.Kind{Service: w.j.Service, Priority: w.j.Priority}
		all[k] = all[k].add(st.CPUUnits, st.MemoryMB, len(w.tasks))
	}
	return held, all
}

// note lets old peaks sink and raises them to the demand of now.
func (p *Planner) note(now int64, all map[store.Kind]weight) {
	if p.peaks == nil {
		p.peaks = map[store.Kind]*peak{}
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
		if k.Service == service && k.Priority < priority {
			sum.cpu += q.cpu
			sum.mem += q.mem
		}
	}
	return sum
}

// share is the room that tasks of this kind may hold at most, if there is a
// bound. Long work that can wait leaves room for the urgent work foreseen.
func (p *Planner) share(s *store.Store, w want, held map[store.Kind]weight) (weight, bool) {
	st := w.j.Steps[w.step]
	if st.EstimateMs < tune.LongTask.Milliseconds() {
		return weight{}, false
	}
	kept := p.kept(w.j.Service, w.j.Priority)
	if kept.cpu == 0 {
		return weight{}, false
	}
	all, _ := s.Bookable(w.j.Service)
	room := weight{float64(all.CPU), float64(all.Mem)}
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
		if k.Service == w.j.Service && k.Priority != w.j.Priority {
			others.cpu += h.cpu
			others.mem += h.mem
		}
	}
	most.cpu = max(most.cpu, room.cpu*tune.ShareFree-others.cpu)
	most.mem = max(most.mem, room.mem*tune.ShareFree-others.mem)
	return most, true
}
