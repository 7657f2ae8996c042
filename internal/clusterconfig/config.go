// Package clusterconfig reads and checks the configurations that operators send.
package clusterconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of faults in a configuration.
var Error = errs.Class("configuration")

// Route is a route: it directs one host and prefix, a queue, to a service.
type Route struct {
	Name          string  `json:"name"`
	HostName      string  `json:"hostName"`
	PathPrefix    string  `json:"pathPrefix"`
	Kind          string  `json:"kind"`
	TimeoutMs     int64   `json:"timeoutMs"`
	TargetMs      int64   `json:"targetMs"`
	Priority      int     `json:"priority"`
	TargetService string  `json:"targetService"`
	MaxAttempts   int     `json:"maxTries"`
	Stretch       float64 `json:"stretch"`
}

// Service is a kind of runner.
type Service struct {
	Name              string `json:"name"`
	EnforcesResources bool   `json:"guards"`
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes"`
	MaxBodyBytes    int64 `json:"maxBodyBytes"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs"`
}

// Config is one configuration, with the text as it was sent.
type Config struct {
	Version  int64     `json:"configVersion"`
	Routes   []Route   `json:"routeList"`
	Services []Service `json:"serviceList"`
	Limits   Limits    `json:"limits"`
	Raw      []byte    `json:"-" cbor:"raw"`
}

// Parse decodes a configuration and checks what its parts say of one another.
func Parse(raw []byte) (*Config, error) {
	var config Config
	if err := json.Unmarshal(raw, &config); err != nil {
		return nil, Error.New("cannot be read whole: %v", err)
	}
	config.Raw = raw
	if problems := inconsistencies(&config); len(problems) > 0 {
		return nil, Error.New("%s", strings.Join(problems, "; "))
	}
	return &config, nil
}

// VersionOf gives the configVersion of a text without reading all of it, to name
// the text by: 0 if there is none or the text can't be read up to there.
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
		if !serviceNames[route.TargetService] {
			report("targetService", fmt.Sprintf("%q is not in serviceList", route.TargetService))
		}
		key := strings.ToLower(route.HostName) + " " + route.PathPrefix
		if owner, ok := prefixOwner[key]; ok {
			report("pathPrefix", fmt.Sprintf("same host and prefix as %q", owner))
		}
		prefixOwner[key] = route.Name
	}
	return problems
}

// RouteTable finds routes.
type RouteTable struct {
	byHost map[string][]*Route
}

// NewRouteTable sorts the routes by host, longest prefix first.
func NewRouteTable(config *Config) *RouteTable {
	table := &RouteTable{byHost: map[string][]*Route{}}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.HostName)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].PathPrefix) > len(routes[b].PathPrefix) })
	}
	return table
}

// Find gives the route of a call and what follows its prefix.
func (t *RouteTable) Find(host, path string) (*Route, string) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, path[len(route.PathPrefix):]
		}
	}
	// The queue itself may be asked for without the slash that ends its prefix.
	for _, route := range t.byHost[host] {
		if path+"/" == route.PathPrefix {
			return route, ""
		}
	}
	return nil, ""
}
