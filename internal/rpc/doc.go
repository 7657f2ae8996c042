// Package rpc defines the messages between daemons and a function that makes a single call from one
// daemon to another: kinds of frames, requests with their kinds, responses with their
// codes, and the bodies of both.
//
// Types tagged toarray are encoded as CBOR arrays in the order of their
// fields. Fields may be renamed, but must not be moved, inserted or removed.
// New fields must be appended at the end.
//
// Finding the leader and retrying requests is done by package discovery, handling
// requests by package server, and managing streams by package transport.
package rpc
