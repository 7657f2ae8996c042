package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"tealpond/internal/registry"
)

// newTestClient is a client of a platform that answers by page tokens.
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
	return NewClient(strings.TrimPrefix(server.URL, "http://"))
}

// TestListReadsAllPages to the last one, which has no token or null.
func TestListReadsAllPages(t *testing.T) {
	client := newTestClient(t, map[string]string{
		"":    `{"instanceList":[{"targetService":"s","address":"10.0.0.1:80","zone":"z","configVersion":"v1","slots":2,"state":"ready","coldLeftMs":7,"id":"a"}],"nextToken":"p 2"}`,
		"p 2": `{"instanceList":[{"targetService":"s","address":"10.0.0.2:80","zone":"z","slots":3,"state":"draining","id":"b"}],"nextToken":null}`,
	})
	list, err := client.List(context.Background())
	want := []registry.Runner{
		{ID: "a", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 2, ColdMs: 7},
		{ID: "b", Service: "s", Address: "10.0.0.2:80", Zone: "z", Slots: 3, Draining: true},
	}
	if err != nil || len(list) != 2 || list[0] != want[0] || list[1] != want[1] {
		t.Errorf("%+v, %v", list, err)
	}
}

// TestPartOfAListIsAnError: the runners that it lacks have not gone.
func TestPartOfAListIsAnError(t *testing.T) {
	first := `{"instanceList":[{"id":"a"}],"nextToken":"2"}`
	for name, second := range map[string]string{"refused for its rate": "429", "no list": "{", "cut off": ""} {
		list, err := newTestClient(t, map[string]string{"": first, "2": second}).List(context.Background())
		if err == nil || list != nil {
			t.Errorf("%s: %+v, %v", name, list, err)
		}
		if errors.Is(err, ErrRateExceeded) != (second == "429") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestEndlessListIsAnError: pages that lead back to themselves.
func TestEndlessListIsAnError(t *testing.T) {
	client := newTestClient(t, map[string]string{"": `{"nextToken":"1"}`, "1": `{"nextToken":"1"}`})
	if _, err := client.List(context.Background()); err == nil {
		t.Error("read to its end")
	}
}
