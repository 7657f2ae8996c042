package clusterconfig

import (
	"sort"
	"strings"
)

// RouteTable finds the route of a request. It is immutable and therefore safe for
// concurrent use.
type RouteTable struct {
	byHost map[string][]*Route // keyed by lower-case host; longest prefix first
}

// NewRouteTable indexes the routes of a configuration.
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

// Find returns the route of a request and the rest of the path after the route's
// prefix. The route is nil if none matches. A port in the host is ignored.
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
	// A path that equals the prefix may lack the trailing slash.
	for _, route := range t.byHost[host] {
		if path+"/" == route.PathPrefix {
			return route, ""
		}
	}
	return nil, ""
}
