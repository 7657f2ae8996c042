// Package clusterconfig reads and checks the configurations that operators send,
// and finds the route of a request in one.
//
// A configuration passes two checks: Validate holds each field against a schema,
// and Parse what the parts say of one another. The package never changes a
// configuration and keeps none: the text as it was sent is part of the state.
package clusterconfig
