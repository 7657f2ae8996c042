// Package aggregator batches the requests of a zone's agents for the leader, so
// that the leader handles a few large messages instead of many small ones.
//
// It is a pure state machine: requests of agents and the leader's responses go in,
// batches for the leader and responses for agents come out; package server sends
// them. It acknowledges nothing by itself and holds no state that may not be lost:
// an agent that gets no response sends its request again, elsewhere.
package aggregator
