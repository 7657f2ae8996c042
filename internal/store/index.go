package store

import "math/bits"

// The index is what the placer reads instead of walking the tables. It follows
// from them, is kept up by deltas as commands apply, rebuilt on load, and is
// never part of a checkpoint. No outcome of a command rests on it, so two
// copies of the state may hold its lists in another order.

// Kind is a service and a priority: what demand and room are summed by.
type Kind struct {
	Service  string
	Priority int
}

// Sum is an amount of room: cpu in thousandths of a core, memory in MB.
type Sum struct{ CPU, Mem int64 }

// StepRef names a step of one of a job's times.
type StepRef struct {
	Job  string
	K    int
	Step int
}

type index struct {
	steps  map[StepRef]struct{} // may have tasks to place
	held   map[Kind]Sum         // by all runs
	rooms  map[string]Sum       // bookable, by service
	count  map[string]int       // bookable workers, by service
	free   map[string]*[classes]shelf
	labels map[string]map[string]*shelf
	booked []uint64 // since the placer asked
}

// shelf is a set of workers without an order; each knows its place.
type shelf struct{ ws []*Worker }

// classes of free room: four to each doubling.
const classes = 160

// classOf is the class of an amount of free cpu; a worker with more is never in
// a lower one.
func classOf(cpu int64) int {
	if cpu < 4 {
		return int(max(cpu, 0))
	}
	n := bits.Len64(uint64(cpu))
	return min((n-2)*4+int(cpu>>(n-3)&3), classes-1)
}

// spot is where a worker stands in the index.
type spot struct {
	in      bool
	service string
	room    Sum
	class   int
	at      int
	labels  []string
	places  []int
}

func (s *Store) newIndex() {
	s.idx = index{steps: map[StepRef]struct{}{}, held: map[Kind]Sum{}, rooms: map[string]Sum{}, count: map[string]int{},
		free: map[string]*[classes]shelf{}, labels: map[string]map[string]*shelf{}}
	for _, w := range s.Workers {
		w.spot = spot{}
		s.place(w)
	}
	for _, a := range s.Allocs {
		a.kind = Kind{}
		s.hold(a)
	}
	for _, j := range s.open {
		for _, in := range j.Insts {
			for i := range in.Steps {
				s.lively(j.ID, in, i)
			}
		}
	}
}

// place puts a worker where its row says, after any write to it.
func (s *Store) place(w *Worker) {
	p := &w.spot
	want := w.Bookable()
	class := classOf(w.FreeCPU())
	same := p.in && want && p.service == w.Service && p.room == Sum{w.Room.CPUUnits, w.Room.MemoryMB} && sameWords(p.labels, w.Labels)
	if same && p.class == class {
		return
	}
	if same {
		s.off(w)
		p.class = class
		s.on(w)
		return
	}
	if p.in {
		s.off(w)
		for i, l := range p.labels {
			s.offLabel(p.service, l, p.places[i])
		}
		r := s.idx.rooms[p.service]
		s.idx.rooms[p.service] = Sum{r.CPU - p.room.CPU, r.Mem - p.room.Mem}
		s.idx.count[p.service]--
	}
	*p = spot{in: want}
	if !want {
		return
	}
	p.service, p.class, p.room = w.Service, class, Sum{w.Room.CPUUnits, w.Room.MemoryMB}
	s.on(w)
	for _, l := range w.Labels {
		m := s.idx.labels[p.service]
		if m == nil {
			m = map[string]*shelf{}
			s.idx.labels[p.service] = m
		}
		if m[l] == nil {
			m[l] = &shelf{}
		}
		p.labels, p.places = append(p.labels, l), append(p.places, len(m[l].ws))
		m[l].ws = append(m[l].ws, w)
	}
	r := s.idx.rooms[p.service]
	s.idx.rooms[p.service] = Sum{r.CPU + p.room.CPU, r.Mem + p.room.Mem}
	s.idx.count[p.service]++
}

func sameWords(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (s *Store) on(w *Worker) {
	f := s.idx.free[w.spot.service]
	if f == nil {
		f = &[classes]shelf{}
		s.idx.free[w.spot.service] = f
	}
	h := &f[w.spot.class]
	w.spot.at = len(h.ws)
	h.ws = append(h.ws, w)
}

func (s *Store) off(w *Worker) {
	h := &s.idx.free[w.spot.service][w.spot.class]
	last := len(h.ws) - 1
	h.ws[w.spot.at] = h.ws[last]
	h.ws[w.spot.at].spot.at = w.spot.at
	h.ws[last] = nil
	h.ws = h.ws[:last]
}

func (s *Store) offLabel(service, label string, at int) {
	h := s.idx.labels[service][label]
	last := len(h.ws) - 1
	moved := h.ws[last]
	h.ws[at] = moved
	for i, l := range moved.spot.labels {
		if l == label && moved.spot.places[i] == last {
			moved.spot.places[i] = at
			break
		}
	}
	h.ws[last] = nil
	h.ws = h.ws[:last]
}

// hold adds a run to the sums, letGo takes it out again.
func (s *Store) hold(a *Alloc) {
	if j := s.Jobs[a.Job]; j != nil {
		a.kind = Kind{j.Service, j.Priority}
		h := s.idx.held[a.kind]
		s.idx.held[a.kind] = Sum{h.CPU + a.CPU, h.Mem + a.Mem}
	}
	s.idx.booked = append(s.idx.booked, a.ID)
}

func (s *Store) letGo(a *Alloc) {
	if a.kind == (Kind{}) {
		return
	}
	h := Sum{s.idx.held[a.kind].CPU - a.CPU, s.idx.held[a.kind].Mem - a.Mem}
	if h == (Sum{}) {
		delete(s.idx.held, a.kind)
	} else {
		s.idx.held[a.kind] = h
	}
	a.kind = Kind{}
}

// lively notes that a step may have tasks to place.
func (s *Store) lively(job string, in *Inst, step int) {
	if st := &in.Steps[step]; s.open[job] != nil && st.Ready && st.Left > 0 && !in.Failed {
		s.idx.steps[StepRef{job, in.K, step}] = struct{}{}
	}
}

// quiet forgets the steps of a job that is over.
func (s *Store) quiet(j *Job) {
	for _, in := range j.Insts {
		for i := range in.Steps {
			delete(s.idx.steps, StepRef{j.ID, in.K, i})
		}
	}
}

// EachStep gives the steps that may have tasks to place, in no order; one for
// which f says false is left out until something of it changes.
func (s *Store) EachStep(f func(j *Job, in *Inst, step int) bool) {
	for r := range s.idx.steps {
		j := s.open[r.Job]
		if j == nil || j.inst(r.K) == nil || !f(j, j.inst(r.K), r.Step) {
			delete(s.idx.steps, r)
		}
	}
}

// Held is the room that runs hold, by kind; not to be changed.
func (s *Store) Held() map[Kind]Sum { return s.idx.held }

// Bookable is the room of a service's workers that can be booked, and their
// number.
func (s *Store) Bookable(service string) (Sum, int) {
	return s.idx.rooms[service], s.idx.count[service]
}

// Booked hands out the runs that were booked since, some of which may be over.
func (s *Store) Booked() []uint64 {
	out := s.idx.booked
	s.idx.booked = nil
	return out
}

// Freest gives a service's bookable workers from the class of cpu upwards, the
// fullest classes first, until f says false.
func (s *Store) Freest(service string, cpu int64, f func(*Worker) bool) {
	all := s.idx.free[service]
	if all == nil {
		return
	}
	for c := classOf(cpu); c < classes; c++ {
		for _, w := range all[c].ws {
			if !f(w) {
				return
			}
		}
	}
}

// Labelled lists a service's bookable workers that bear a label, in no order;
// not to be changed.
func (s *Store) Labelled(service, label string) []*Worker {
	if h := s.idx.labels[service][label]; h != nil {
		return h.ws
	}
	return nil
}
