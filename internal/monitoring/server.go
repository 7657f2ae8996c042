package monitoring

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// contentType is the media type of the Prometheus text format.
	contentType = "text/plain; version=0.0.4; charset=utf-8"
	// requestTimeout bounds one request, including the collection of the metrics.
	requestTimeout = 2 * time.Second
	// maxPort is the highest TCP port.
	maxPort = 65535
)

// ErrEndpoint reports that an endpoint does not have the form PORT/PATH.
var ErrEndpoint = errors.New("want PORT/PATH, such as 9464/metrics")

// Source writes the metrics of a role. It ignores errors of the writer; a failed scrape is
// detected by the client.
type Source interface {
	WriteMetrics(ctx context.Context, w io.Writer)
}

// Endpoint is the port and path at which a daemon serves its metrics.
type Endpoint struct {
	Port string
	Path string // with a leading slash
}

// ParseEndpoint parses PORT/PATH. The error is ErrEndpoint.
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, found := strings.Cut(text, "/")
	number, err := strconv.Atoi(port)
	if !found || path == "" || err != nil || number < 1 || number > maxPort {
		return Endpoint{}, ErrEndpoint
	}
	return Endpoint{Port: port, Path: "/" + path}, nil
}

// Serve serves the metrics of a source on an IP address until ctx ends. It returns as
// soon as it listens.
func Serve(ctx context.Context, ip string, endpoint Endpoint, source Source) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", net.JoinHostPort(ip, endpoint.Port))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+endpoint.Path, handler(source))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: requestTimeout, WriteTimeout: 2 * requestTimeout}
	go func() { _ = server.Serve(listener) }() // returns once the server is closed below
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// handler responds with the metrics of the source and of the process.
func handler(source Source) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithTimeout(request.Context(), requestTimeout)
		defer cancel()
		w.Header().Set("Content-Type", contentType)
		source.WriteMetrics(ctx, w)
		metrics.WriteProcessMetrics(w)
	})
}
