package store

import "fmt"

// Classes of devices.
const (
	ClassGPU  = "gpu"
	ClassTurn = "turn"
	ClassLoan = "loan"
)

// Booking is one row: a device, held by an allocation over a time range.
type Booking struct {
	_     struct{} `cbor:",toarray"`
	Alloc uint64
	From  int64
	To    int64
}

// Device is an atom: booked whole or not at all.
type Device struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Class   string
	Worker  string
	Healthy bool
	Books   []Booking
}

// Free tells whether no booking overlaps the range.
func (d *Device) Free(from, to int64) bool {
	for _, b := range d.Books {
		if from < b.To && b.From < to {
			return false
		}
	}
	return true
}

// book refuses a range that overlaps another on the same device.
func (s *Store) book(d *Device, alloc uint64, from, to int64) bool {
	if d == nil || !d.Healthy || from >= to || !d.Free(from, to) {
		return false
	}
	d.Books = append(d.Books, Booking{Alloc: alloc, From: from, To: to})
	s.note(func() { s.unbook(d, alloc) })
	return true
}

func (s *Store) unbook(d *Device, alloc uint64) {
	keep := d.Books[:0]
	for _, b := range d.Books {
		if b.Alloc != alloc {
			keep = append(keep, b)
		}
	}
	d.Books = keep
}

func turnID(task string, copy int) string {
	if copy == 0 {
		return "turn/" + task
	}
	return "turn/" + task + "/" + itoa(copy)
}

func gpuID(worker string, i int) string { return fmt.Sprintf("gpu/%s/%d", worker, i) }
