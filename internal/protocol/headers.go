package protocol

// Headers of requests and responses.
const (
	// HeaderBasedOn names the version that a configuration is to follow.
	HeaderBasedOn = "X-Tealpond-Based-On"
	// HeaderTargetRunner names the incarnation of a runner that a call is for;
	// any other answers 421.
	HeaderTargetRunner = "X-Tealpond-Target-Runner"
	// HeaderTimeLeft is how long a client waits for its answer, in ms.
	HeaderTimeLeft = "X-Tealpond-Time-Left"
	// HeaderNotRun says, in an answer of a runner, that it did not run the request.
	HeaderNotRun = "X-Tealpond-Not-Run"
	// HeaderAttemptID names one attempt of a client; runners repeat it.
	HeaderAttemptID = "X-Tealpond-Attempt-Id"
	// HeaderTenant names, to a runner, the tenant whose key a request bears.
	HeaderTenant = "X-Tealpond-Tenant"
	// HeaderAuthorization bears a tenant's key, after AuthorizationScheme.
	HeaderAuthorization = "Authorization"
	// AuthorizationScheme is the scheme of the Authorization header with which a
	// call bears a tenant's key.
	AuthorizationScheme = "Bearer"
	// HeaderRetryAfter is when to come again, in whole seconds.
	HeaderRetryAfter = "Retry-After"
)
