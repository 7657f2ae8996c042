package settings

import (
	"fmt"
	"net"
	"slices"
)

// FieldError is a fault of one field of a settings file.
type FieldError struct {
	Path  string // of the file
	Field string // its key, with that of its table before it
	Fault string // what is wrong with it
}

// Error names the file, the field and the fault.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: field %s: %s", e.Path, e.Field, e.Fault) }

// fieldCheck gives the fault of one field, empty if it is in order.
type fieldCheck struct {
	field string
	fault func(*File) string
}

// faultUnless returns the reason as the fault of a field that is not in order.
func faultUnless(ok bool, reason string) string {
	if ok {
		return ""
	}
	return reason
}

// isAddress reports whether a text has the form HOST:PORT.
func isAddress(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}

// serves reports whether the role serves one kind of callers.
func (f *File) serves(callers string) bool { return slices.Contains(f.Serves, callers) }

// fieldChecks hold the rules of the file; the first that is broken is reported.
var fieldChecks = []fieldCheck{
	{"nodeName", func(f *File) string { return faultUnless(f.NodeName != "", "is missing") }},
	{"ipAddress", func(f *File) string {
		return faultUnless(net.ParseIP(f.IPAddress) != nil, "is missing or no address")
	}},
	{"innerPortRange", func(f *File) string {
		return faultUnless(len(f.InnerPortRange) == 2 && f.InnerPortRange[0] > 0 && f.InnerPortRange[1] >= f.InnerPortRange[0], "wants two ports, the first not above the second")
	}},
	{"seedNodes", func(f *File) string {
		if len(f.SeedNodes) == 0 {
			return "is missing"
		}
		for _, seed := range f.SeedNodes {
			if !isAddress(seed) {
				return fmt.Sprintf("%q is no address", seed)
			}
		}
		return ""
	}},
	{"orders", func(f *File) string {
		// The other exchange that the operators' pages name is refused, since they
		// don't describe it.
		return faultUnless(f.AssignmentProtocol == "" || f.AssignmentProtocol == "duty_call", fmt.Sprintf("%q is not supported, only duty_call is", f.AssignmentProtocol))
	}},
	{"listenAddrs.frontHttp", func(f *File) string {
		return faultUnless(!f.serves("edge") || isAddress(f.ListenAddresses.FrontHTTP), "is missing for a role that serves edge")
	}},
	{"listenAddrs.readiness", func(f *File) string {
		return faultUnless(!f.serves("edge") || isAddress(f.ListenAddresses.Readiness), "is missing for a role that serves edge")
	}},
	{"listenAddrs.controlAddr", func(f *File) string {
		return faultUnless(!f.serves("control") && !f.serves("side") || isAddress(f.ListenAddresses.Control), "is missing for a role that serves control or side")
	}},
	{"app", func(f *File) string {
		return faultUnless(!f.serves("side") || isAddress(f.RunnerAddress), "is missing for a role that serves side")
	}},
	{"bounds.maxHoldMs", func(f *File) string {
		return faultUnless(!f.RunsJobs() || f.Bounds.MaxLeaseMs > 0, "is missing or not above 0 where jobs run")
	}},
	{"cloudApi.address", func(f *File) string {
		needed := f.Deployment == DeploymentAPI && f.Discovery == DiscoveryPlatform
		return faultUnless(!needed || isAddress(f.Platform.Address), "is missing though the platform lists the runners")
	}},
	{"bounds.historyS", func(f *File) string { return faultUnless(f.Bounds.HistoryS >= 0, "is below 0") }},
	{"bounds.freeAfterMs", func(f *File) string { return faultUnless(f.Bounds.FreeAfterMs >= 0, "is below 0") }},
	{"limits.memoryMb", func(f *File) string { return faultUnless(f.Limits.MemoryMb > 0, "is missing or not above 0") }},
}
