package state

// Outcome is the result of a command, returned to its caller. Outcomes are part of the
// digest chain, so a command must have the same outcome on each replica and in each
// version.
type Outcome struct {
	_     struct{} `cbor:",toarray"`
	Code  Code
	Text  string // why the command was refused, or details of its acceptance
	Value int64  // the number that the command's documentation defines, if any
}

// Code is the result code of a command. Its values are those of the HTTP statuses with
// the same meaning. They must not change, since the digest chain and responses between
// daemons contain them.
type Code int

// The result codes of commands.
const (
	CodeOK                 Code = 200 // done now, or already done before
	CodeAccepted           Code = 202 // recorded; takes effect later
	CodeInvalid            Code = 400 // malformed or inconsistent with the state; a retry cannot succeed
	CodeForbidden          Code = 403 // concerns an object of another tenant
	CodeNotFound           Code = 404 // no route matches
	CodeConflict           Code = 409 // the object it refers to has changed, for example a worker's fence
	CodeGone               Code = 410 // the object it refers to does not exist or has ended
	CodePreconditionFailed Code = 412 // based on an outdated version; Value is the current one
	CodeUnavailable        Code = 503 // no configuration yet
	CodeUnknown            Code = 504 // not known whether an earlier copy was accepted or a later one will be
)
