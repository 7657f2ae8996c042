package protocol

// Headers of requests and responses.
const (
	// HeaderBasedOn is the version that a configuration change is based on.
	HeaderBasedOn = "X-Tealpond-Based-On"
	// HeaderTargetRunner is the incarnation of a runner that a call is addressed to;
	// a runner with another incarnation responds with 421.
	HeaderTargetRunner = "X-Tealpond-Target-Runner"
	// HeaderTimeLeft is the time that a client still waits for the response, in ms.
	HeaderTimeLeft = "X-Tealpond-Time-Left"
	// HeaderNotRun reports, in a response of a runner, that the runner did not execute the request.
	HeaderNotRun = "X-Tealpond-Not-Run"
	// HeaderAttemptID identifies one attempt of a client; runners echo it.
	HeaderAttemptID = "X-Tealpond-Attempt-Id"
	// HeaderTenant tells a runner which tenant's key a request carries.
	HeaderTenant = "X-Tealpond-Tenant"
	// HeaderAuthorization carries a tenant's key after AuthorizationScheme.
	HeaderAuthorization = "Authorization"
	// AuthorizationScheme is the scheme of the Authorization header that carries
	// a tenant's key.
	AuthorizationScheme = "Bearer"
	// HeaderRetryAfter is the time after which a request may be retried, in whole seconds.
	HeaderRetryAfter = "Retry-After"
)
