package protocol

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderSize is the size in bytes that the limit of headers bounds: the target and all
// fields as they are sent.
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

// BearerKey is the tenant's key that a request bears; empty if it bears none.
func BearerKey(request *http.Request) string {
	scheme, key, _ := strings.Cut(request.Header.Get(HeaderAuthorization), " ")
	if !strings.EqualFold(scheme, AuthorizationScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// TimeLeft is how long a client will wait for its answer; the given time if it doesn't
// say, or says more than that.
func TimeLeft(request *http.Request, most time.Duration) time.Duration {
	header := request.Header.Get(HeaderTimeLeft)
	if ms, err := strconv.ParseFloat(header, 64); err == nil && ms > 0 {
		return min(most, time.Duration(ms*float64(time.Millisecond)))
	}
	return most
}

// Kinds of routes for requests.
const (
	KindReadOnly = "read_only" // may run more than once
	KindDownload = "download"  // likewise, with large answers
	KindWriting  = "writing"   // runs at most once for each attempt of a client
	KindUpload   = "upload"    // likewise, with large bodies
)
