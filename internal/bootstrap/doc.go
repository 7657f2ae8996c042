// Package bootstrap forms the first cluster. Candidates announce themselves to a
// seed, the seed proposes the voters, each candidate durably binds itself to the proposal
// on its disk, and they start once all of them are bound.
//
// Both sides are pure state machines; the packages server and api do the announcing,
// binding and starting. The package never forms a second cluster beside an existing one:
// a candidate binds only once, and one voter must be running for the first time.
// Later membership changes are handled elsewhere.
package bootstrap
