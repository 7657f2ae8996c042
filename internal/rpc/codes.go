package rpc

// Code tells how a request ended. Those below MinHTTPCode are tealpond's own and
// never reach a client; those from it on have the meaning of the HTTP status of the
// same number, and package api passes most of them to clients. The numbers are part
// of the messages between daemons.
type Code int

// MinHTTPCode is the lowest code that is an HTTP status, given by the leader. The
// codes below it are used between daemons only: no leader has carried the request
// out, as far as is known.
const MinHTTPCode Code = 100

// The codes that responses hold.
const (
	// CodeNotLeader: the replica does not lead, and the request had no effect;
	// Response.Leader is the address of the leader, if it is known.
	CodeNotLeader Code = 1
	// CodeLeadershipLost: the leader lost its term while the command was under
	// way; whether it was committed is unknown.
	CodeLeadershipLost Code = 2
	// CodeNoLeader is given by package discovery itself: no leader was found in
	// time, and the request was never taken by any.
	CodeNoLeader Code = 3
	// CodeTimeout is given by package discovery itself: the time ran out after the
	// request had been sent; whether it had an effect is unknown.
	CodeTimeout Code = 4

	// CodeOK: the request was answered, and its effect is committed.
	CodeOK Code = 200
	// CodeAccepted: the request is committed, and its effect follows.
	CodeAccepted Code = 202
	// CodeBadRequest: the request can't be read or breaks a rule of its kind.
	CodeBadRequest Code = 400
	// CodeUnauthorized: the call bears no key of a tenant.
	CodeUnauthorized Code = 401
	// CodeForbidden: the caller may not do this, or did not prove who it is.
	CodeForbidden Code = 403
	// CodeNotFound: what the request names is not known.
	CodeNotFound Code = 404
	// CodeConflict: a fence or a state that was overtaken by another.
	CodeConflict Code = 409
	// CodeGone: what the request names has ended.
	CodeGone Code = 410
	// CodePreconditionFailed: the version or fence that the request is based on is
	// not the present one, which Response.Value holds.
	CodePreconditionFailed Code = 412
	// CodeUnknownSet: the leader does not know the set of members that a
	// LeaseBatch numbers; it must be sent with its members.
	CodeUnknownSet Code = 428
	// CodeTooManyRequests: the request is refused for want of room; it may be
	// repeated after Response.RetryAfterMs.
	CodeTooManyRequests Code = 429
	// CodeUnavailable: the replica can't serve the request now.
	CodeUnavailable Code = 503
	// CodeOutcomeForgotten: the request was decided so long ago that the decision
	// is not kept any more.
	CodeOutcomeForgotten Code = 504
)
