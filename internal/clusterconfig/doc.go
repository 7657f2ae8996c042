// Package clusterconfig parses and validates the configurations that operators
// submit, and matches requests to their routes.
//
// A configuration must pass two checks: Validate checks each field against a
// schema, and Parse checks that the sections are consistent with one another. The
// package stores no configuration; the state keeps the JSON text as it was
// submitted.
package clusterconfig
