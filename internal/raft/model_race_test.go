//go:build race

package raft

// The race detector makes the model about ten times slower and can't find anything in it,
// since it runs in a single goroutine. So there are fewer walks, and the search is less deep
// by one transition.
const (
	defaultSeeds      = 100
	defaultExtraDepth = -1
)
