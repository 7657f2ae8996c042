package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// copyHeaders adds the headers of a message to another, without those that concern one
// connection: the ones above, and those that its Connection header names.
func copyHeaders(to, from http.Header) {
	named := map[string]bool{}
	for _, list := range from["Connection"] {
		for _, name := range strings.Split(list, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !connectionHeaders[name] && !named[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}
