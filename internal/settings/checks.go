package settings

import (
	"fmt"
	"net"
	"slices"
)

// FieldError reports an invalid field of a settings file.
type FieldError struct {
	Path    string // path of the settings file
	Field   string // key, prefixed with that of its table
	Problem string // why the value is invalid
}

// Error returns a message that names the file, the field and the problem.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s: %s", e.Path, e.Field, e.Problem)
}

// fieldCheck validates one field. Its function returns the problem, or "" if the field is
// valid.
type fieldCheck struct {
	field   string
	problem func(*File) string
}

// problemUnless returns the reason as the problem if ok is false, and "" otherwise.
func problemUnless(ok bool, reason string) string {
	if ok {
		return ""
	}
	return reason
}

// isAddress reports whether an address has the form HOST:PORT.
func isAddress(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}

// serves reports whether the role serves the given endpoint: edge, control or side.
func (f *File) serves(endpoint string) bool { return slices.Contains(f.Serves, endpoint) }

// fieldChecks are the validation rules of a settings file. Only the first violation is
// reported.
var fieldChecks = []fieldCheck{
	{"nodeName", func(f *File) string { return problemUnless(f.NodeName != "", "is missing") }},
	{"ipAddress", func(f *File) string {
		return problemUnless(net.ParseIP(f.IPAddress) != nil, "is missing or not an IP address")
	}},
	{"innerPortRange", func(f *File) string {
		return problemUnless(len(f.InnerPortRange) == 2 && f.InnerPortRange[0] > 0 && f.InnerPortRange[1] >= f.InnerPortRange[0],
			"must have two ports above 0, the first not above the second")
	}},
	{"seedNodes", func(f *File) string {
		if len(f.SeedNodes) == 0 {
			return "is missing"
		}
		for _, seed := range f.SeedNodes {
			if !isAddress(seed) {
				return fmt.Sprintf("%q is not an address of the form HOST:PORT", seed)
			}
		}
		return ""
	}},
	{"orders", func(f *File) string {
		// The operators' documentation names a second protocol but doesn't describe
		// it, so that one is rejected.
		return problemUnless(f.AssignmentProtocol == "" || f.AssignmentProtocol == "duty_call",
			fmt.Sprintf("%q is not supported; the only supported value is duty_call", f.AssignmentProtocol))
	}},
	{"listenAddrs.frontHttp", func(f *File) string {
		return problemUnless(!f.serves("edge") || isAddress(f.ListenAddresses.FrontHTTP), "is missing for a role that serves edge")
	}},
	{"listenAddrs.readiness", func(f *File) string {
		return problemUnless(!f.serves("edge") || isAddress(f.ListenAddresses.Readiness), "is missing for a role that serves edge")
	}},
	{"listenAddrs.controlAddr", func(f *File) string {
		return problemUnless(!f.serves("control") && !f.serves("side") || isAddress(f.ListenAddresses.Control), "is missing for a role that serves control or side")
	}},
	{"app", func(f *File) string {
		return problemUnless(!f.serves("side") || isAddress(f.RunnerAddress), "is missing for a role that serves side")
	}},
	{"bounds.maxHoldMs", func(f *File) string {
		return problemUnless(!f.RunsJobs() || f.Bounds.MaxLeaseMs > 0,
			"is missing or not above 0, but the deployment runs jobs")
	}},
	{"cloudApi.address", func(f *File) string {
		needed := f.Deployment == DeploymentAPI && f.Discovery == DiscoveryPlatform
		return problemUnless(!needed || isAddress(f.Platform.Address),
			"is missing or not HOST:PORT, but discovery is cloud_api")
	}},
	{"bounds.historyS", func(f *File) string { return problemUnless(f.Bounds.HistoryS >= 0, "is below 0") }},
	{"bounds.freeAfterMs", func(f *File) string { return problemUnless(f.Bounds.FreeAfterMs >= 0, "is below 0") }},
	{"limits.memoryMb", func(f *File) string { return problemUnless(f.Limits.MemoryMB > 0, "is missing or not above 0") }},
}
