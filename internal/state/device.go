package state

import "fmt"

// Classes of devices.
const (
	ClassGPU       = "gpu"
	ClassTaskLock  = "turn"
	ClassLoanSlice = "loan"
)

// Reservation is one row: a device, held by an allocation over a time range.
type Reservation struct {
	_          struct{} `cbor:",toarray"`
	Allocation uint64
	From       int64
	To         int64
}

// Device is an atom: booked whole or not at all.
type Device struct {
	_            struct{} `cbor:",toarray"`
	ID           string
	Class        string
	Worker       string
	Healthy      bool
	Reservations []Reservation
}

// FreeDuring tells whether no booking overlaps the range.
func (d *Device) FreeDuring(from, to int64) bool {
	for _, b := range d.Reservations {
		if from < b.To && b.From < to {
			return false
		}
	}
	return true
}

// reserve refuses a range that overlaps another on the same device.
func (s *Store) reserve(device *Device, allocation uint64, from, to int64) bool {
	if device == nil || !device.Healthy || from >= to || !device.FreeDuring(from, to) {
		return false
	}
	device.Reservations = append(device.Reservations, Reservation{Allocation: allocation, From: from, To: to})
	s.recordUndo(func() { s.releaseReservations(device, allocation) })
	return true
}

func (s *Store) releaseReservations(device *Device, allocation uint64) {
	kept := device.Reservations[:0]
	for _, b := range device.Reservations {
		if b.Allocation != allocation {
			kept = append(kept, b)
		}
	}
	device.Reservations = kept
}

func taskLockID(task string, copy int) string {
	if copy == 0 {
		return "turn/" + task
	}
	return "turn/" + task + "/" + itoa(copy)
}

func gpuDeviceID(worker string, i int) string { return fmt.Sprintf("gpu/%s/%d", worker, i) }
