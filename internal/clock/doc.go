// Package clock provides a group of replicas with one monotonic clock and one wall clock, although
// the system clocks of their machines drift and jump.
//
// The leader stamps both clocks on the entries of the log. Followers observe them in the entries
// that they apply, so that a new leader continues from where the previous one was. The package
// reads no clock itself: each call carries the time.
package clock
