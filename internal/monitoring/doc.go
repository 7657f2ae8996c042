// Package monitoring serves the metrics of a daemon in the Prometheus text format.
//
// Metrics are collected on each scrape and cost nothing in between. The package
// defines no metrics itself: the role writes its own, and the metrics library adds
// those of the process. It keeps no history and does not push metrics.
package monitoring
