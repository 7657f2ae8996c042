package monitoring

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// sourceFunc adapts a function to Source.
type sourceFunc func(w io.Writer)

func (f sourceFunc) WriteMetrics(_ context.Context, w io.Writer) { f(w) }

func TestParseEndpoint(t *testing.T) {
	for text, want := range map[string]Endpoint{
		"9464/metrics": {"9464", "/metrics"},
		"1/a/b":        {"1", "/a/b"},
		"":             {}, "9464": {}, "9464/": {}, "/metrics": {}, "x/metrics": {}, "0/m": {}, "65536/m": {}, "-1/m": {},
	} {
		got, err := ParseEndpoint(text)
		if got != want || errors.Is(err, ErrEndpoint) != (want == Endpoint{}) {
			t.Errorf("%q: %+v, %v", text, got, err)
		}
	}
}

// TestMetricsAreServed checks that the metrics of the role and of the process are served,
// only at the configured path, until the context ends.
func TestMetricsAreServed(t *testing.T) {
	const ip = "127.0.0.1"
	free, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(free.Addr().String())
	_ = free.Close()
	ctx, cancel := context.WithCancel(t.Context())
	source := sourceFunc(func(w io.Writer) {
		WriteGauges(w, []Gauge{{"tealpond_leader", BoolValue(true)}, {"tealpond_follower", BoolValue(false)}, {"tealpond_wait_seconds", 1.5}})
	})
	if err := Serve(ctx, ip, Endpoint{port, "/metrics"}, source); err != nil {
		t.Fatal(err)
	}
	get := func(path string) (int, string) {
		response, err := http.Get("http://" + net.JoinHostPort(ip, port) + path)
		if err != nil {
			return 0, ""
		}
		defer func() { _ = response.Body.Close() }()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	status, text := get("/metrics")
	for _, line := range []string{"tealpond_leader 1\n", "tealpond_follower 0\n", "tealpond_wait_seconds 1.5\n", "go_goroutines "} {
		if !strings.Contains(text, line) {
			t.Errorf("status %d, response lacks %q:\n%s", status, line, text)
		}
	}
	if status, _ := get("/other"); status != http.StatusNotFound {
		t.Errorf("another path: status %d, want 404", status)
	}
	if err := Serve(ctx, ip, Endpoint{port, "/metrics"}, source); err == nil {
		t.Error("a second server could listen on the same port")
	}
	cancel()
	for status != 0 {
		status, _ = get("/metrics")
	}
}
