package place

import (
	"sort"

	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// Pushes are the runs to stop so that more urgent work, which waits already,
// finds room: those that lose least unsaved work, and none that lose much.
func (p *Planner) Pushes(s *store.Store) []uint64 {
	if len(p.lack) == 0 {
		return nil
	}
	var lacks []store.Kind
	for k := range p.lack {
		lacks = append(lacks, k)
	}
	sort.Slice(lacks, func(a, b int) bool { return lacks[a].Priority < lacks[b].Priority })
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
		if st.EstimateMs < tune.LongTask.Milliseconds() || st.Gang || st.LongRunning || lost > tune.PushLoss.Milliseconds() {
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
		got := freed[k.Service]
		for _, v := range vs {
			if got.cpu >= need.cpu && got.mem >= need.mem {
				break
			}
			if v.j.Service != k.Service || v.j.Priority <= k.Priority {
				continue
			}
			out = append(out, v.a.ID)
			got = got.add(v.a.CPU, v.a.Mem, 1)
		}
	}
	return out
}
