// Package monitoring serves the figures of a daemon in the text format of Prometheus.
//
// The figures are read when they are asked for, and cost nothing in between. The
// package knows none of them itself: the role writes its own, and the library adds
// those of the process. It keeps no history and pushes nothing.
package monitoring
