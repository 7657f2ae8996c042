// Package counter counts events that occur at many daemons, such as the requests of a
// tenant, over a sliding window. The daemons exchange their counts by gossip.
//
// The counts of a Set form a grow-only counter (a state-based CRDT): each process has one
// increasing count for each key and time slot. A merge takes the larger of two counts, so
// lost, repeated and reordered messages do no harm, and any daemon may relay the counts of
// others. A restarted process counts as a new one; the counts of its previous run remain
// until their window has passed. Messages carry the age of a slot instead of a wall-clock
// time, so clocks that differ or jump do no harm either: a delayed message only makes
// counts last longer.
//
// The error of the sum is bounded, since each process may admit only a limited number of
// events that its peer hasn't acknowledged; see Exchange.Admit. The package starts no
// goroutines, reads no clock, and is independent of tenants and jobs.
package counter
