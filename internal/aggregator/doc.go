// Package aggregator batches the requests of a zone's agents to the leader, so that the leader
// handles a few large messages instead of many small ones.
//
// It is a pure state machine: its inputs are requests of agents and responses of the leader, its
// outputs batches for the leader and responses for agents. Package server sends them. It
// acknowledges nothing by itself and holds no state that must not be lost: an agent that gets no
// response sends its request again, to another server.
package aggregator
