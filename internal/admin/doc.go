// Package admin answers operators' questions about a running cluster: its members,
// a change's way through the daemons, SQL queries over the replicated state, and
// the record of deferrable jobs over several clusters.
//
// It is used by the command line, asks daemons by package rpc and only reads: it
// changes nothing in a cluster, and a query is computed in the tool's own memory,
// from the tables of one server.
package admin
