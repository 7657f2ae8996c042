package rpc

// Code is the outcome of a request. Codes below MinHTTPCode are specific to tealpond and
// never reach a client. Codes from MinHTTPCode on have the meaning of the HTTP status with the
// same number, and package api passes most of them to clients. The numbers are part
// of the wire protocol between daemons.
type Code int

// MinHTTPCode is the lowest code that is an HTTP status, returned by the leader. The
// codes below it are used between daemons only, and mean that no leader is known to have
// executed the request.
const MinHTTPCode Code = 100

// Codes of responses.
const (
	// CodeNotLeader: the replica is not the leader, and the request had no effect.
	// Response.Leader is the address of the leader, if known.
	CodeNotLeader Code = 1
	// CodeLeadershipLost: the leader lost its leadership while the command was in
	// progress; whether the command was committed is unknown.
	CodeLeadershipLost Code = 2
	// CodeNoLeader is set by package discovery itself: no leader was found in
	// time, and no leader accepted the request.
	CodeNoLeader Code = 3
	// CodeTimeout is set by package discovery itself: the timeout expired after the
	// request had been sent; whether it took effect is unknown.
	CodeTimeout Code = 4

	// CodeOK: the request succeeded, and its effect is committed.
	CodeOK Code = 200
	// CodeAccepted: the request is committed, and will take effect later.
	CodeAccepted Code = 202
	// CodeBadRequest: the request cannot be decoded or is invalid for its kind.
	CodeBadRequest Code = 400
	// CodeUnauthorized: the call has no valid tenant key.
	CodeUnauthorized Code = 401
	// CodeForbidden: the caller is not permitted to do this, or did not authenticate itself.
	CodeForbidden Code = 403
	// CodeNotFound: the object of the request does not exist.
	CodeNotFound Code = 404
	// CodeConflict: a newer fence or state supersedes that of the request.
	CodeConflict Code = 409
	// CodeGone: the object of the request has ended.
	CodeGone Code = 410
	// CodePreconditionFailed: the version or fence that the request is based on is
	// not the current one, which is in Response.Value.
	CodePreconditionFailed Code = 412
	// CodeTooLarge means that the request can never be accepted, whatever else is kept.
	CodeTooLarge Code = 413
	// CodeUnknownSet: the leader does not know the set of members with the number given
	// by a LeaseBatch. The batch must be sent again with its members.
	CodeUnknownSet Code = 428
	// CodeTooManyRequests: the request is rejected for lack of capacity. It may be
	// retried after Response.RetryAfterMs.
	CodeTooManyRequests Code = 429
	// CodeUnavailable: the replica cannot serve the request at the moment.
	CodeUnavailable Code = 503
	// CodeOutcomeExpired: the request was decided so long ago that its outcome
	// is no longer stored.
	CodeOutcomeExpired Code = 504
)
