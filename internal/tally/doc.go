// Package tally holds counters that applications add to and that stay available on each side of a
// partition: a state-based replicated set of adds (a CRDT), without a leader and without a
// replicated log.
//
// An add is identified by its tally and its ID, and counts once whichever replicas receive it. Each
// replica numbers the adds that it receives from applications, starting at 1, under the origin of
// its file. It sends an add to peers only once the add is in that file. A vector describes what a
// replica has: for each origin, the number up to which all adds are on its disk. Merging is a
// union: the same adds give the same sums in any order and with any repetitions.
//
// An add is acknowledged once it is on one more disk than may be lost at once. While the replicas
// needed for that are unresponsive, it is acknowledged once it is on the disks of all others.
//
// The package is a pure state machine: it reads no clock, no disk and no network. Package storage
// stores the adds, package server transports the messages.
package tally
