package store

import (
	"sort"

	"tealpond/internal/protocol"
)

// TakeUp binds a runner's life to the side daemon that orders it and gives
// the fence under which it does.
type TakeUp struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Node     string
	Life     string
	Service  string
	Zone     string
	Labels   []string
	Room     protocol.Resources
	Draining bool
	LeavesIn int64 // ms from now, below 0 if it stays
	// Replaces is the fence of the node's life before this one, as the side
	// daemon was told of it. A take-up may come late, when a newer life than
	// its own was taken up on the node, and must not end that one.
	Replaces int64
}

func init() { register("takeup", func() Cmd { return &TakeUp{} }) }

// Apply raises the fence. A new life on a node ends the one before it, if its
// side daemon knows of it: else 412, and N is the fence that it must name.
func (c *TakeUp) Apply(s *Store) Outcome {
	w := s.Workers[c.ID]
	if w != nil && w.Dead {
		// Why refused: a late beat of a crashed life must not bring it back.
		return Outcome{Code: 409, Text: "this life is over"}
	}
	var old []string
	for id, o := range s.Workers {
		if o.Node == c.Node && id != c.ID && !o.Dead {
			old = append(old, id)
		}
	}
	sort.Strings(old)
	for _, id := range old {
		if f := s.Workers[id].Fence; f > c.Replaces {
			return Outcome{Code: 412, Text: "another life is here", N: f}
		}
	}
	pause := int64(0)
	for _, id := range old {
		if !s.Workers[id].Draining {
			// Why not of one that left: it said so.
			pause = max(pause, s.flapped(c.Node))
		}
		s.endLife(s.Workers[id], "crashed")
	}
	if w == nil {
		w = &Worker{ID: c.ID, Node: c.Node}
		s.Workers[c.ID] = w
		for i := 0; i < c.Room.GPUs; i++ {
			id := gpuID(c.ID, i)
			s.Devices[id] = &Device{ID: id, Class: ClassGPU, Worker: c.ID, Healthy: true}
		}
	}
	s.Last++
	w.Fence = int64(s.Last)
	w.Life, w.Service, w.Zone, w.Labels, w.Room = c.Life, c.Service, c.Zone, c.Labels, c.Room
	w.Lost, w.Sick = false, false
	if c.Draining {
		w.leave(s.Clock, c.LeavesIn)
	}
	if pause > 0 {
		w.ShunTill = s.Clock + pause
	}
	w.Ver++
	s.place(w)
	return Outcome{Code: 200, N: w.Fence}
}

// endLife closes all that a life held; it can't come back.
func (s *Store) endLife(w *Worker, why string) {
	w.Dead = true
	w.Ver++
	s.place(w)
	for _, a := range s.On(w.ID) {
		s.endRun(a, why, "")
	}
	for i := 0; i < w.Room.GPUs; i++ {
		delete(s.Devices, gpuID(w.ID, i))
	}
}
