package raft

import "errors"

// Errors of calls that only a leader can carry out.
var (
	// ErrNotLeader: this member does not lead.
	ErrNotLeader = errors.New("this member does not lead")
	// ErrTransferInProgress: the leader is transferring the leadership.
	ErrTransferInProgress = errors.New("the leadership is being transferred")
	// ErrNoTransferee: no voter can take the leadership over at once.
	ErrNoTransferee = errors.New("no voter can take the leadership over")
	// ErrConfChangeInProgress: a change of the voters is under way, or no entry of the term is
	// committed yet.
	ErrConfChangeInProgress = errors.New("a change of the voters is under way")
	// ErrInvalidVoters: the proposed set of voters is empty, or the present one.
	ErrInvalidVoters = errors.New("the set of voters is empty or the present one")
)
