package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/registry"
)

// newTestClient returns a client of a platform that serves pages by page token.
func newTestClient(t *testing.T, pages map[string]string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		page, ok := pages[r.URL.Query().Get("pageToken")]
		switch {
		case r.URL.Path != "/runners" || !ok:
			w.WriteHeader(http.StatusNotFound)
		case page == "429":
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			_, _ = fmt.Fprint(w, page)
		}
	}))
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"), 0)
}

// TestListReadsAllPages checks that the list is read up to the last page, whose token is
// missing or null.
func TestListReadsAllPages(t *testing.T) {
	client := newTestClient(t, map[string]string{
		"":    `{"instanceList":[{"targetService":"s","address":"10.0.0.1:80","zone":"z","configVersion":"v1","slots":2,"state":"ready","coldLeftMs":7,"id":"a"}],"nextToken":"p 2"}`,
		"p 2": `{"instanceList":[{"targetService":"s","address":"10.0.0.2:80","zone":"z","slots":3,"state":"draining","id":"b"}],"nextToken":null}`,
	})
	list, err := client.List(context.Background())
	want := []registry.Runner{
		{ID: "a", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 2, WarmUpMs: 7},
		{ID: "b", Service: "s", Address: "10.0.0.2:80", Zone: "z", Slots: 3, Draining: true},
	}
	if err != nil || len(list) != 2 || list[0] != want[0] || list[1] != want[1] {
		t.Errorf("%+v, %v", list, err)
	}
}

// TestPartialListIsAnError checks that a list with an unreadable page is an error: the missing
// runners are not gone.
func TestPartialListIsAnError(t *testing.T) {
	first := `{"instanceList":[{"id":"a"}],"nextToken":"2"}`
	for name, second := range map[string]string{"rate limit exceeded": "429", "invalid JSON": "{", "empty page": ""} {
		list, err := newTestClient(t, map[string]string{"": first, "2": second}).List(context.Background())
		if err == nil || list != nil {
			t.Errorf("%s: %+v, %v", name, list, err)
		}
		if errors.Is(err, ErrRateExceeded) != (second == "429") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestEndlessListIsAnError checks that a list whose page token refers back to the same page is
// an error.
func TestEndlessListIsAnError(t *testing.T) {
	client := newTestClient(t, map[string]string{"": `{"nextToken":"1"}`, "1": `{"nextToken":"1"}`})
	if _, err := client.List(context.Background()); err == nil {
		t.Error("no error")
	}
}

// scriptedPlatform answers calls at a limited rate, without a network.
type scriptedPlatform struct {
	pages   int           // pages of the list
	spacing time.Duration // between two accepted calls
	burst   int           // calls accepted at once
	calls   []time.Time
	refused int
}

// RoundTrip implements http.RoundTripper.
func (p *scriptedPlatform) RoundTrip(r *http.Request) (*http.Response, error) {
	now := time.Now()
	recent := 0
	for _, at := range p.calls {
		if now.Sub(at) < time.Duration(p.burst)*p.spacing {
			recent++
		}
	}
	if recent >= p.burst {
		p.refused++
		return &http.Response{StatusCode: http.StatusTooManyRequests, Body: http.NoBody, Request: r}, nil
	}
	p.calls = append(p.calls, now)
	var page int
	_, _ = fmt.Sscan(r.URL.Query().Get("pageToken"), &page) // the first page has no token
	text := fmt.Sprintf(`{"instanceList":[{"id":"i-%d"}],"nextToken":"%d"}`, page, page+1)
	if page == p.pages-1 {
		text = fmt.Sprintf(`{"instanceList":[{"id":"i-%d"}],"nextToken":null}`, page)
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text)), Request: r}, nil
}

// TestListStaysWithinRate checks that a list with more pages than the platform serves in a
// second is read completely, at a rate that the platform accepts, or with retries if other
// clients use up that rate.
func TestListStaysWithinRate(t *testing.T) {
	for _, c := range []struct {
		name         string
		rate         float64 // from the settings
		mayBeRefused bool
	}{
		{"known rate", 5, false},
		{"unknown rate", 0, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			platform := &scriptedPlatform{pages: 30, spacing: 200 * time.Millisecond, burst: 5}
			client := NewClient("10.0.0.1:80", c.rate)
			client.http.Transport = platform
			list, err := client.List(t.Context())
			if err != nil || len(list) != platform.pages {
				t.Errorf("%s: %d runners, %v", c.name, len(list), err)
			}
			if platform.refused > 0 && !c.mayBeRefused {
				t.Errorf("%s: %d calls refused, want none", c.name, platform.refused)
			}
		})
	}
}
