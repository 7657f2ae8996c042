package clusterconfig

import (
	"strings"
	"testing"
)

// FuzzParse checks that no input makes VersionOf, Parse or Validate panic, and that each
// route of an accepted configuration is found by its own host and prefix.
func FuzzParse(f *testing.F) {
	f.Add(configOfRoutes(2))
	for _, text := range []string{"", "{", "[]", "null", `{"configVersion":1e3}`, `{"routeList":[],"configVersion":7}`,
		`{"configVersion":7,"configVersion":8}`, `{"configversion":7}`, `{"configVersion":8,"ConfigVersion":7,"routeList":[],"serviceList":[]}`,
		`{"configVersion":8}{}`,
		configOfTwoRoutes("h", "/p/", "H", "/p/"), configOfTwoRoutes("h", "/p", "h", "/p/"),
		configOfTwoRoutes("h", "/", "h", "/p"), configOfTwoRoutes("H:8", "/x/", "h", "/x/"),
		`{"configVersion":-1,"routeList":[{}],"serviceList":[{},{}]}`, `{"configVersion":9223372036854775808}`, "["} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		VersionOf(raw)
		config, err := Parse(raw)
		if err != nil || Validate(raw) != nil {
			return
		}
		if _, err := Parse(config.Raw); err != nil {
			t.Errorf("accepted text was rejected by a second Parse: %v", err)
		}
		table := NewRouteTable(config)
		for i := range config.Routes {
			route := &config.Routes[i]
			if strings.ContainsRune(route.HostName, ':') {
				continue // requests are matched without their port
			}
			if found, rest := table.Find(route.HostName, route.PathPrefix); found != route || rest != "" {
				t.Errorf("%q finds %v, rest %q", route.Name, found, rest)
			}
		}
	})
}

// configOfTwoRoutes returns a configuration with two routes.
func configOfTwoRoutes(host1, prefix1, host2, prefix2 string) string {
	route := func(name, host, prefix string) string {
		return `{"name":"` + name + `","hostName":"` + host + `","pathPrefix":"` + prefix + `","timeoutMs":1,"targetService":"s"}`
	}
	return `{"configVersion":7,"routeList":[` + route("a", host1, prefix1) + "," + route("b", host2, prefix2) + `],"serviceList":[{"name":"s"}]}`
}
