// Package tuning holds the constants of the scheduler that were chosen by
// measurement or by reasoning, each with its unit and the reason for its value.
// They stand together, one file a subject, since many of them only make sense
// relative to each other: a lease outlasts an election, a retry fits within a
// client's patience.
//
// The package has no code and imports nothing but time. What operators may set
// is in package settings and package clusterconfig, not here.
package tuning
