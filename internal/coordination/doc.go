// Package coordination holds the tables of locks, counters and keys that applications
// share, and the operations on them. It is pure: an operation takes the state's clock, in
// ms, and changes the tables; the same operations at the same times give the same tables
// and results on every replica. It knows nothing of jobs, of the network or of whoever
// calls.
package coordination
