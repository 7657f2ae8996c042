// Package state is the replicated state machine: tables of workers, devices,
// allocations, jobs, loans and configuration, and the commands that change
// them. Each command has a file of its own; command.go lists them all.
//
// Replicas that apply the same commands in the same order reach the same state,
// byte for byte. So this package does no I/O, and nothing in it depends on a clock,
// a setting of the process, a random number or the iteration order of a map. It is
// not safe for concurrent use: the owner of a Store applies entries and reads tables
// from one goroutine, and passes a Snapshot to other goroutines.
//
// There are two clocks. The leader sets both with each log entry. The state clock
// (Store.Clock) is monotonic and unrelated to the date. Times in rows are readings
// of it in milliseconds, unless their comment says otherwise. The wall clock
// (Store.WallClock) is in milliseconds since 1970; only periodic jobs and the
// demand history use it.
//
// CPU is measured in millicores, memory in megabytes.
package state
