package clusterconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all configuration errors. Their messages name the field.
var Error = errs.Class("configuration")

// Route directs the jobs or requests for one host and path prefix to a service.
type Route struct {
	Name          string `json:"name"`
	HostName      string `json:"hostName"` // matched case-insensitively
	PathPrefix    string `json:"pathPrefix"`
	Kind          string `json:"kind"`
	TimeoutMs     int64  `json:"timeoutMs"`
	TargetMs      int64  `json:"targetMs"` // see Stretch
	Priority      int    `json:"priority"` // 0 is the highest
	TargetService string `json:"targetService"`
	MaxAttempts   int    `json:"maxTries"` // a job fails once one of its tasks has failed this many times
	// Stretch sets the target completion time of a job: Stretch times the sum of
	// the estimates on its critical path, plus TargetMs.
	Stretch float64 `json:"stretch"`
	// Public routes need no tenant's API key.
	Public bool `json:"public,omitempty"`
	// Split distributes the requests among several services; it replaces TargetService.
	Split []SplitPart `json:"trafficSplit,omitempty"`
}

// Queue returns the host and the path prefix of the route, by which clients address it. No two routes of a
// configuration have the same.
func (r *Route) Queue() string { return strings.ToLower(r.HostName) + " " + r.PathPrefix }

// SplitPart is one service of a traffic split.
type SplitPart struct {
	TargetService string  `json:"targetService"`
	Share         float64 `json:"share"` // weight relative to the sum over all parts
}

// Service is a type of runner.
type Service struct {
	Name string `json:"name"`
	// EnforcesResources reports whether runners of the service reject a run for
	// which they lack resources. Runners of other services start every run.
	EnforcesResources bool `json:"guards"`
}

// Limits bounds the size and timing of client requests; 0 selects the default.
type Limits struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes"`
	MaxBodyBytes    int64 `json:"maxBodyBytes"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs"`
}

// Config is a parsed configuration.
type Config struct {
	Version  int64     `json:"configVersion"`
	Routes   []Route   `json:"routeList"`
	Services []Service `json:"serviceList"`
	Limits   Limits    `json:"limits"`
	Raw      []byte    `json:"-" cbor:"raw"` // the JSON text as submitted

	// tenants is not stored, because Raw already contains the tenants and their
	// keys; see RestoreTenants.
	tenants []Tenant
}

// Parse decodes a configuration and checks that its sections are consistent with one
// another. The error is of class Error, and its message lists all problems.
func Parse(raw []byte) (*Config, error) {
	var text struct {
		Config
		Tenants []Tenant `json:"tenantList"`
	}
	if err := json.Unmarshal(raw, &text); err != nil {
		return nil, Error.New("cannot be read whole: %v", err)
	}
	config := text.Config
	config.Raw, config.tenants = raw, text.Tenants
	if problems := inconsistencies(&config); len(problems) > 0 {
		return nil, Error.New("%s", strings.Join(problems, "; "))
	}
	return &config, nil
}

// VersionOf returns the version of a configuration without parsing all of its text. It
// is used for traces. It returns 0 if there is no version or the text before it can't be
// parsed.
func VersionOf(raw []byte) int64 {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return 0
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return 0
		}
		if key == "configVersion" {
			var version int64
			if decoder.Decode(&version) != nil {
				return 0
			}
			return version
		}
		var skipped json.RawMessage
		if decoder.Decode(&skipped) != nil {
			return 0
		}
	}
	return 0
}

// inconsistencies returns the problems within and between the sections of a
// configuration.
func inconsistencies(config *Config) []string {
	var problems []string
	if config.Version <= 0 {
		problems = append(problems, "configVersion: missing or not above 0")
	}
	serviceNames := map[string]bool{}
	for i, service := range config.Services {
		if service.Name == "" {
			problems = append(problems, fmt.Sprintf("serviceList[%d].name: missing", i))
		}
		if serviceNames[service.Name] {
			problems = append(problems, fmt.Sprintf("serviceList[%d].name: %q stands twice", i, service.Name))
		}
		serviceNames[service.Name] = true
	}
	routeByPrefix, routeNames := map[string]string{}, map[string]bool{}
	for i, route := range config.Routes {
		report := func(field, why string) {
			problems = append(problems, fmt.Sprintf("routeList[%d].%s: %s", i, field, why))
		}
		if route.Name == "" {
			report("name", "missing")
		}
		if routeNames[route.Name] {
			report("name", fmt.Sprintf("%q stands twice", route.Name))
		}
		routeNames[route.Name] = true
		if route.HostName == "" {
			report("hostName", "missing")
		}
		if !strings.HasPrefix(route.PathPrefix, "/") {
			report("pathPrefix", "does not begin with /")
		}
		if route.TimeoutMs <= 0 {
			report("timeoutMs", "not above 0")
		}
		if len(route.Split) > 0 {
			for field, problem := range splitProblems(route.Split, serviceNames) {
				report(field, problem)
			}
		} else if !serviceNames[route.TargetService] {
			report("targetService", fmt.Sprintf("%q is not in serviceList", route.TargetService))
		}
		if owner, ok := routeByPrefix[route.Queue()]; ok {
			report("pathPrefix", fmt.Sprintf("same host and prefix as %q", owner))
		}
		routeByPrefix[route.Queue()] = route.Name
	}
	return append(problems, tenantProblems(config.tenants)...)
}
