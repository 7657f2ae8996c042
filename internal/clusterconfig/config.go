package clusterconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of a configuration; their texts name the field.
var Error = errs.Class("configuration")

// Route directs the jobs or requests of one host and path prefix to a service.
type Route struct {
	Name          string `json:"name"`
	HostName      string `json:"hostName"` // the case of letters doesn't matter
	PathPrefix    string `json:"pathPrefix"`
	Kind          string `json:"kind"`
	TimeoutMs     int64  `json:"timeoutMs"`
	TargetMs      int64  `json:"targetMs"` // see Stretch
	Priority      int    `json:"priority"` // 0 goes first
	TargetService string `json:"targetService"`
	MaxAttempts   int    `json:"maxTries"` // a job fails when one of its tasks has failed so many times
	// Stretch: a job should be done in Stretch times the sum of the estimates on
	// its critical path, plus TargetMs.
	Stretch float64 `json:"stretch"`
	// Public routes are served without a tenant's key.
	Public bool `json:"public,omitempty"`
	// Split shares the requests out among several services, instead of TargetService.
	Split []SplitPart `json:"trafficSplit,omitempty"`
}

// SplitPart is a service's part of a route's requests.
type SplitPart struct {
	TargetService string  `json:"targetService"`
	Share         float64 `json:"share"` // against the sum of all parts
}

// Service is a kind of runner.
type Service struct {
	Name string `json:"name"`
	// EnforcesResources: its runners refuse a run for which they lack resources;
	// the others start every run that they get.
	EnforcesResources bool `json:"guards"`
}

// Limits bound what clients may send; 0: the default.
type Limits struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes"`
	MaxBodyBytes    int64 `json:"maxBodyBytes"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs"`
}

// Config is one configuration.
type Config struct {
	Version  int64     `json:"configVersion"`
	Routes   []Route   `json:"routeList"`
	Services []Service `json:"serviceList"`
	Limits   Limits    `json:"limits"`
	Raw      []byte    `json:"-" cbor:"raw"` // the text as it was sent

	// tenants are not stored beside the text, which has their keys already: see
	// RestoreTenants.
	tenants []Tenant
}

// Parse decodes a configuration and checks that its parts are consistent with one
// another. The text of the error, which is of class Error, lists all problems.
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

// VersionOf returns the version of a configuration's text without parsing all of it,
// for traces; 0 if there is none or the text before it can't be parsed.
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

// inconsistencies lists the contradictions between the parts of a configuration.
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
	prefixOwner, routeNames := map[string]string{}, map[string]bool{}
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
		key := strings.ToLower(route.HostName) + " " + route.PathPrefix
		if owner, ok := prefixOwner[key]; ok {
			report("pathPrefix", fmt.Sprintf("same host and prefix as %q", owner))
		}
		prefixOwner[key] = route.Name
	}
	return append(problems, tenantProblems(config.tenants)...)
}
