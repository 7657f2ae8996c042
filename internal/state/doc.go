// Package state is the replicated state machine: tables of workers, devices,
// allocations, jobs, loans and configuration, and the commands that change
// them. Each command has a file of its own; command.go lists them all.
//
// The same commands in the same order give the same state, byte for byte, on
// each replica. So nothing here reads a clock, a setting of its process, a
// random number or the order of a map, nothing does I/O, and nothing is safe
// for use by several goroutines: the owner of a Store applies entries and reads
// tables from one goroutine, and gives other goroutines a Snapshot.
//
// Two clocks are in use, both set by the leader with each entry. The state clock
// (Store.Clock) is monotonic and has no relation to the date: times in rows are in
// its milliseconds unless their comment says otherwise. The wall clock
// (Store.WallClock) is in milliseconds since 1970 and serves periodic jobs and
// the record of demand only.
//
// CPU is counted in thousandths of a core, memory in megabytes.
package state
