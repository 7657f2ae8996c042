// Package discovery finds the leader, keeps one connection to it (or to the
// aggregator of the zone) and retries requests until they are answered.
//
// A Client probes the addresses that it knows, keeps the stream to the leader, and
// resends pending requests on the next stream if the leader is lost; all requests
// are idempotent. A request that can't be answered ends with one of two codes, so
// that the caller knows whether it may have had an effect: rpc.CodeNoLeader (no
// leader processed it) or rpc.CodeTimeout (a leader may have processed it).
//
// The package takes no part in leader election, never acknowledges a request on
// behalf of the leader, and keeps its state only in memory.
package discovery
