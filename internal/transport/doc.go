// Package transport carries frames between daemons over DRPC, on one bidirectional stream
// for each pair. It does not interpret the body of a frame, resend a frame, or reopen a
// stream: that is the responsibility of the senders.
package transport
