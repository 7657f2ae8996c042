package raft

import "errors"

// Errors returned by operations that require leadership.
var (
	// ErrNotLeader is returned if this member is not the leader.
	ErrNotLeader = errors.New("not the leader")
	// ErrTransferInProgress is returned while the leader transfers the leadership.
	ErrTransferInProgress = errors.New("leadership transfer in progress")
	// ErrNoTransferee is returned if no voter is able to take over the leadership.
	ErrNoTransferee = errors.New("no voter is able to take over the leadership")
	// ErrConfChangeInProgress is returned while a configuration change is in progress, or
	// before the leader has committed an entry of its term.
	ErrConfChangeInProgress = errors.New("configuration change in progress")
	// ErrInvalidVoters is returned if the proposed set of voters is empty or unchanged.
	ErrInvalidVoters = errors.New("set of voters is empty or unchanged")
)
