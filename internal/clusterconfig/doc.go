// Package clusterconfig reads and checks the configurations that operators send,
// and finds the route of a request in one.
//
// A configuration passes two checks: Validate checks each field against a schema,
// and Parse that the parts are consistent with one another. The package never
// changes a configuration and stores none: the state has the text as it was sent.
package clusterconfig
