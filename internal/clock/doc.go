// Package clock gives a group of replicas one monotonic and one wall clock, from machines whose
// times of day drift and jump.
//
// A leader stamps both on the entries of the log; followers learn them from the entries that they
// apply, so that one that becomes leader goes on where the leader before it was. The package is
// pure: it reads no clock itself.
package clock
