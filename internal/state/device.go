package state

import (
	"fmt"
	"slices"
	"strconv"
)

// Classes of devices. They stand in rows and in the IDs of devices.
const (
	ClassGPU = "gpu"
	// ClassTaskLock is the right to run a task. Its reservation ends with the
	// run, so that a task, or a copy of it, never runs twice at a time.
	ClassTaskLock = "turn"
	// ClassLoanSlice is a part of a service's CPU that can be lent to a peer.
	ClassLoanSlice = "loan"
)

// Forever is the end of a reservation that lasts until its run's end is known.
const Forever = int64(1) << 62

// Device is something that is reserved whole or not at all.
type Device struct {
	_            struct{} `cbor:",toarray"`
	ID           string
	Class        string
	Worker       string // of a GPU
	Healthy      bool
	Reservations []Reservation
}

// Reservation reserves a device for an allocation, or for a loan, over the time
// [From, To).
type Reservation struct {
	_          struct{} `cbor:",toarray"`
	Allocation uint64   // the number of the allocation or of the loan
	From       int64
	To         int64
}

// FreeDuring reports whether no reservation overlaps the time [from, to).
func (d *Device) FreeDuring(from, to int64) bool {
	for _, reservation := range d.Reservations {
		if from < reservation.To && reservation.From < to {
			return false
		}
	}
	return true
}

// releaseReservations drops the reservations of an allocation.
func (d *Device) releaseReservations(allocation uint64) {
	d.Reservations = slices.DeleteFunc(d.Reservations, func(r Reservation) bool { return r.Allocation == allocation })
}

// dropExpiredReservations drops the reservations that have ended.
func (d *Device) dropExpiredReservations(clock int64) {
	d.Reservations = slices.DeleteFunc(d.Reservations, func(r Reservation) bool { return r.To <= clock })
}

// reserve reserves a device. It changes nothing and returns false if there is
// no such device, or it isn't healthy or not free all that time.
func (s *Store) reserve(device *Device, allocation uint64, from, to int64) bool {
	if device == nil || !device.Healthy || from >= to || !device.FreeDuring(from, to) {
		return false
	}
	device.Reservations = append(device.Reservations, Reservation{Allocation: allocation, From: from, To: to})
	s.recordUndo(func() { device.releaseReservations(allocation) })
	return true
}

// reserveGPUs reserves the free GPUs of a worker with the lowest numbers. If too few
// are free it returns false and leaves some reserved: the caller's savepoint undoes
// that.
func (s *Store) reserveGPUs(worker *Worker, count int, allocation uint64) ([]string, bool) {
	var gpus []string
	for i := 0; i < worker.Capacity.GPUs && len(gpus) < count; i++ {
		if id := gpuDeviceID(worker.ID, i); s.reserve(s.Devices[id], allocation, s.Clock, Forever) {
			gpus = append(gpus, id)
		}
	}
	return gpus, len(gpus) >= count
}

func taskLockID(task string, number int) string {
	if number == 0 {
		return "turn/" + task
	}
	return "turn/" + task + "/" + strconv.Itoa(number)
}

func gpuDeviceID(worker string, number int) string { return fmt.Sprintf("gpu/%s/%d", worker, number) }

func loanSliceID(service string, number int) string {
	return "loan/" + service + "/" + strconv.Itoa(number)
}
