// Package admin implements the read-only queries of the command line to a running cluster: its
// members, the trace of a change through the daemons, SQL queries over the replicated state, and
// the record of deferrable jobs over several clusters.
//
// It calls the daemons by package rpc and changes nothing in a cluster. An SQL query runs in the
// memory of the tool, on a copy of one server's tables.
package admin
