package protocol

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderSize returns the size in bytes to which the header limit applies: the request target and all
// fields of request.Header, which do not include Host.
func HeaderSize(request *http.Request) int {
	const separators = len(": \r\n")
	size := len(request.RequestURI)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// BearerKey returns the tenant's key that a request carries, or an empty string if it carries none.
func BearerKey(request *http.Request) string {
	scheme, key, _ := strings.Cut(request.Header.Get(HeaderAuthorization), " ")
	if !strings.EqualFold(scheme, AuthorizationScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// TimeLeft returns how long a client will wait for the response, as given by HeaderTimeLeft and at most limit.
// Without a valid header it returns limit.
func TimeLeft(request *http.Request, limit time.Duration) time.Duration {
	header := request.Header.Get(HeaderTimeLeft)
	if ms, err := strconv.ParseFloat(header, 64); err == nil && ms > 0 {
		return time.Duration(min(float64(limit), ms*float64(time.Millisecond)))
	}
	return limit
}

// Kinds of routes for requests.
const (
	KindReadOnly = "read_only" // may run more than once
	KindDownload = "download"  // like KindReadOnly, with large responses
	KindWriting  = "writing"   // runs at most once for each attempt of a client
	KindUpload   = "upload"    // like KindWriting, with large bodies
)
