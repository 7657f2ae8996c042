// Package counter counts events that many daemons see at once, such as the requests
// of a tenant, and merges the counts by gossip.
//
// Each process counts for itself: one growing number for each key and slot of time. A
// merge takes the larger of two numbers, so lost, repeated and reordered messages do no
// harm, and any daemon may pass on what it has of others. A process that was started
// again is another process; what its predecessor counted stays until its window has
// passed. Ages travel with the counts instead of times of day, so clocks that differ or
// jump do no harm either: a late message only makes counts last longer.
//
// How far the sum may be off is bounded by how far each process may run ahead of its
// last exchange; see Admission. The package starts no goroutine and reads no clock,
// and it knows nothing of tenants or jobs.
package counter
