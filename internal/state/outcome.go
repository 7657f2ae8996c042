package state

// Outcome is what a command leaves for its caller. Outcomes are part of the
// digest chain, so the same command must leave the same outcome on each replica
// and in each version.
type Outcome struct {
	_     struct{} `cbor:",toarray"`
	Code  Code
	Text  string // why a command was refused, or more on how it was accepted
	Value int64  // a number that the command is documented to return
}

// Code tells how a command ended. The numbers are those of the HTTP statuses of
// the same meaning: they stand in the digest chain and in responses between
// daemons.
type Code int

// The codes that commands end with.
const (
	CodeOK                 Code = 200 // it is done, or was before
	CodeAccepted           Code = 202 // it is noted and takes effect later
	CodeInvalid            Code = 400 // it contradicts itself or the state; resending is useless
	CodeForbidden          Code = 403 // it concerns what belongs to another tenant
	CodeNotFound           Code = 404 // no route leads there
	CodeConflict           Code = 409 // what it refers to has changed, such as a worker's fence
	CodeGone               Code = 410 // what it refers to doesn't exist, or has ended
	CodePreconditionFailed Code = 412 // it was decided on an older version; Value is the present one
	CodeUnavailable        Code = 503 // nothing is configured yet
	CodeUnknown            Code = 504 // whether it was accepted earlier is no longer known, or whether a copy of it will be
)
