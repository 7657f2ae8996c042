// Package discovery finds the leader, keeps one connection to it (or to the
// aggregator of the zone) and carries requests until they are answered.
//
// A Client asks all addresses that it knows who leads, keeps the stream to the
// one that does, and sends every request again on the next stream if its leader
// is lost: all requests have the same effect however often they are taken. A
// request that can't be answered ends with one of two codes, so that a caller
// knows whether it may have had an effect: rpc.CodeNoLeader (no leader took it)
// or rpc.CodeTimeout (one may have).
//
// The package never decides who leads, acknowledges nothing by itself and holds
// nothing that outlives the process.
package discovery
