//go:build !race

package raft

const (
	defaultSeeds      = 300
	defaultExtraDepth = 0
)
