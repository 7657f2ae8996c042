package rpc

// Codes of responses between daemons. Those below 100 are tealpond's own and
// never reach a client; those from 100 on have the meaning of the HTTP status of
// the same number, and the front end hands most of them on.
const (
	// CodeNotLeader: the replica does not lead, and the request had no effect;
	// Response.Leader is the address of the leader, if it is known.
	CodeNotLeader = 1
	// CodeLeadershipLost: the leader lost its term while the command was under
	// way; whether it was committed is unknown.
	CodeLeadershipLost = 2
	// CodeNoLeader is given by package discovery itself: no leader was found in
	// time, and the request was never taken by any.
	CodeNoLeader = 3
	// CodeTimeout is given by package discovery itself: the time ran out after the
	// request had been sent; whether it had an effect is unknown.
	CodeTimeout = 4

	// CodeOK: the request was answered, and its effect is committed.
	CodeOK = 200
	// CodeAccepted: the request is committed, and its effect follows.
	CodeAccepted = 202
	// CodeBadRequest: the request can't be read or breaks a rule of its kind.
	CodeBadRequest = 400
	// CodeForbidden: the caller did not prove who it is.
	CodeForbidden = 403
	// CodeNotFound: what the request names is not known.
	CodeNotFound = 404
	// CodeConflict: a fence or a state that was overtaken by another.
	CodeConflict = 409
	// CodeGone: what the request names has ended.
	CodeGone = 410
	// CodePreconditionFailed: the version or fence that the request is based on is
	// not the present one, which Response.Value holds.
	CodePreconditionFailed = 412
	// CodeUnknownSet: the leader does not know the set of members that a
	// LeaseBatch numbers; it must be sent with its members.
	CodeUnknownSet = 428
	// CodeTooManyRequests: the request is refused for want of room; it may be
	// repeated after Response.RetryAfterMs.
	CodeTooManyRequests = 429
	// CodeUnavailable: the replica can't serve the request now.
	CodeUnavailable = 503
	// CodeOutcomeForgotten: the request was decided so long ago that the decision
	// is not kept any more.
	CodeOutcomeForgotten = 504
)
