// Package bootstrap forms the first cluster: candidates announce themselves to a
// seed, the seed proposes the voters, each candidate binds itself to the proposal
// on its disk, and they start once all of them are bound.
//
// Both sides are pure state machines; package server and package api announce,
// bind and start. The package never forms a second cluster beside an existing one
// (a candidate binds once, and one voter must be running for the first time), and
// it has no part in changes of the voters later on.
package bootstrap
