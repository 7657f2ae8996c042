// Package coordination holds the tables of locks, counters and keys that applications share, and
// the operations on them. It is deterministic: an operation takes the state clock, in ms, and
// changes the tables, and the same operations at the same times give the same tables and results
// on every replica. It doesn't depend on jobs, on the network or on the caller.
package coordination
