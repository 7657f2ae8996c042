package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionHeaders are the hop-by-hop headers, which are not forwarded.
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

// copyHeaders copies the headers of a message to another, except hop-by-hop headers: those in
// connectionHeaders and those named by the Connection header.
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
