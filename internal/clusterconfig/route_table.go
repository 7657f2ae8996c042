package clusterconfig

import (
	"sort"
	"strings"
)

// RouteTable finds the route of a request. It is safe for concurrent use, since it
// never changes.
type RouteTable struct {
	byHost map[string][]*Route // in lower case; longest prefix first
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

// Find returns the route of a request and what follows its prefix in the path; nil
// where no route matches. A port in the host is left out.
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
	// The path of the route itself may lack the slash that ends its prefix.
	for _, route := range t.byHost[host] {
		if path+"/" == route.PathPrefix {
			return route, ""
		}
	}
	return nil, ""
}
