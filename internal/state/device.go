package state

import (
	"fmt"
	"slices"
	"strconv"
)

// Device classes. They are stored in rows and are part of device IDs.
const (
	ClassGPU = "gpu"
	// ClassTaskLock is the class of task locks. A run reserves the lock of its task, or of
	// its copy of the task, until the run ends, so that no two runs of it are active at once.
	ClassTaskLock = "turn"
	// ClassLoanSlice is the class of shares of a service's CPU that can be lent to a peer.
	ClassLoanSlice = "loan"
)

// OpenEnd is the end time of a reservation that lasts until its run is known to have ended.
const OpenEnd = int64(1) << 62

// Device is a resource that is reserved as a whole for one allocation or loan at a time.
type Device struct {
	_            struct{} `cbor:",toarray"`
	ID           string
	Class        string
	Worker       string // the worker that has the GPU; empty for other classes
	Healthy      bool
	Reservations []Reservation
}

// Reservation reserves a device for an allocation, or for a loan, during the interval
// [From, To).
type Reservation struct {
	_          struct{} `cbor:",toarray"`
	Allocation uint64   // ID of the allocation or number of the loan
	From       int64
	To         int64
}

// FreeDuring reports whether no reservation overlaps the interval [from, to).
func (d *Device) FreeDuring(from, to int64) bool {
	for _, reservation := range d.Reservations {
		if from < reservation.To && reservation.From < to {
			return false
		}
	}
	return true
}

// releaseReservations removes the reservations of an allocation.
func (d *Device) releaseReservations(allocation uint64) {
	d.Reservations = slices.DeleteFunc(d.Reservations, func(r Reservation) bool { return r.Allocation == allocation })
}

// dropExpiredReservations removes the reservations that end at clock or earlier.
func (d *Device) dropExpiredReservations(clock int64) {
	d.Reservations = slices.DeleteFunc(d.Reservations, func(r Reservation) bool { return r.To <= clock })
}

// reserve reserves a device for the interval [from, to). It changes nothing and returns
// false if the device is nil or unhealthy, the interval is empty, or another reservation
// overlaps it.
func (s *Store) reserve(device *Device, allocation uint64, from, to int64) bool {
	if device == nil || !device.Healthy || from >= to || !device.FreeDuring(from, to) {
		return false
	}
	device.Reservations = append(device.Reservations, Reservation{Allocation: allocation, From: from, To: to})
	s.recordUndo(func() { device.releaseReservations(allocation) })
	return true
}

// reserveGPUs reserves count free GPUs of a worker, those with the lowest numbers first,
// and returns their IDs. If too few are free, it returns false and may leave some reserved;
// the caller's savepoint undoes that.
func (s *Store) reserveGPUs(worker *Worker, count int, allocation uint64) ([]string, bool) {
	var gpus []string
	for i := 0; i < worker.Capacity.GPUs && len(gpus) < count; i++ {
		if id := gpuDeviceID(worker.ID, i); s.reserve(s.Devices[id], allocation, s.Clock, OpenEnd) {
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
