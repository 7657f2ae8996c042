package server

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
)

// Responses of the handlers. Their texts are shown to clients.
var (
	responseOK              = rpc.Response{Code: rpc.CodeOK}
	responseBadRequest      = rpc.Response{Code: rpc.CodeBadRequest}
	responseUnknownKind     = rpc.Response{Code: rpc.CodeBadRequest, Text: "unknown ask"}
	responseBadJobID        = rpc.Response{Code: rpc.CodeBadRequest, Text: "the ID wants 16 hex digits"}
	responseUnknownKey      = rpc.Response{Code: rpc.CodeUnauthorized, Text: "no tenant's key"}
	responseOtherTenantsJob = rpc.Response{Code: rpc.CodeForbidden, Text: "another tenant's job"}
	responseNoSuchRoute     = rpc.Response{Code: rpc.CodeNotFound, Text: "no such queue"}
	responseNoSuchJob       = rpc.Response{Code: rpc.CodeGone, Text: "no such job"}
	responseNotConfigured   = rpc.Response{Code: rpc.CodeUnavailable, Text: "not configured yet", RetryAfterMs: 1000}
	responseNotLeader       = rpc.Response{Code: rpc.CodeNotLeader}
	// responseOutcomeUnknown says that the command may or may not be in the log.
	responseOutcomeUnknown = rpc.Response{Code: rpc.CodeLeadershipLost}
)

// commandReply receives the outcome of a command. If known is false, the outcome is empty,
// and the command may or may not take effect. It is called once, in the loop.
type commandReply = func(outcome state.Outcome, known bool)

// outcomeReply answers a request with the outcome of its command.
func outcomeReply(reply replyFunc) commandReply {
	return func(outcome state.Outcome, known bool) {
		if !known {
			reply(responseOutcomeUnknown)
			return
		}
		reply(rpc.Response{Code: rpc.Code(outcome.Code), Text: outcome.Text, Value: outcome.Value})
	}
}

// responseOverloaded refuses a job that may be submitted again after a wait.
func responseOverloaded(wait time.Duration) rpc.Response {
	return rpc.Response{Code: rpc.CodeTooManyRequests, Text: "more work than can be finished in time", RetryAfterMs: max(wait.Milliseconds(), 1)}
}
