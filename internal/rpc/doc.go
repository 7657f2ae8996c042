// Package rpc defines the messages between daemons and the single call from one
// daemon to another: frames, requests with their kinds, responses with their
// codes, and the bodies of both.
//
// Types that are tagged toarray are encoded as CBOR arrays, by the order of their
// fields. Fields may be renamed; they must not be moved, inserted or removed, and
// a new one goes to the end.
//
// The package finds no leader and repeats no request (package discovery does),
// decides nothing about a request (package server does) and knows nothing of
// streams beyond their frames (package transport).
package rpc
