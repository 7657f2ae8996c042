// Package gateway forwards requests of clients to runners.
//
// It holds what a request goes through in one daemon: its route and tenant, the choice
// of a runner, attempts within the operators' bounds, and the answer's way back. It knows
// nothing of how the configuration and the list of runners come to the daemon: both are
// handed to it. HTTP itself is the library's on both sides.
//
// What it never does: send a request that may not be repeated to a second runner unless
// the first surely didn't run it; change a body; give an answer to another caller than
// the one whose attempt it names.
package gateway
