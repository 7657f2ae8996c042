// Package transport carries frames between daemons over DRPC, on one two-way stream
// for each pair. It never looks into the body of a frame, repeats a frame, or opens a
// stream again: that is up to the senders.
package transport
