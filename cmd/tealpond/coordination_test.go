package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"tealpond/internal/rpc"
)

// TestKeysAreReadAndWatched checks that the first daemon that answers is used, and that a
// watch resumes from the revision of the last response.
func TestKeysAreReadAndWatched(t *testing.T) {
	requested := []string{}
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested = append(requested, r.URL.String())
		switch {
		case strings.HasPrefix(r.URL.Path, "/-/watch/") && r.URL.Query().Get("dependsOn") == "5":
			_, _ = w.Write([]byte(`{"events":[{"name":"g.a","value":"v","revision":6}],"revision":6}`))
		case strings.HasPrefix(r.URL.Path, "/-/watch/"):
			_, _ = w.Write([]byte(`{"events":[{"name":"g.b","value":"w","revision":7}],"revision":7}`))
		case r.URL.Path == "/-/Cells.Read/g.a":
			_, _ = w.Write([]byte(`{"value":"v","revision":6}`))
		default:
			http.Error(w, "no such key", http.StatusNotFound)
		}
	}))
	defer daemon.Close()
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no leader", http.StatusServiceUnavailable)
	}))
	defer unavailable.Close()
	addresses := []string{"--control", strings.TrimPrefix(unavailable.URL, "http://"), "--control",
		strings.TrimPrefix(daemon.URL, "http://")}
	for _, test := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"keys", "get", "g.a"}, exitOK, `{"value":"v","revision":6}` + "\n"},
		{[]string{"keys", "get", "g.c"}, exitUnknown, "tealpond: g.c: no such key\n"},
		{[]string{"keys", "watch", "g.", "--from", "5", "--count", "2"}, exitOK, `{"name":"g.a","value":"v","revision":6}` + "\n" + `{"name":"g.b","value":"w","revision":7}` + "\n"},
	} {
		var out bytes.Buffer
		if code := run(append(test.args, addresses...), &out, &out); code != test.code || out.String() != test.want {
			t.Errorf("%v: %d, %q", test.args, code, out.String())
		}
	}
	if last := requested[len(requested)-1]; !strings.Contains(last, "dependsOn=6") {
		t.Errorf("the watch resumes with %s, want dependsOn=6", last)
	}
}

// TestTalliesAreWatched checks that a tally is printed when it is new and whenever its total
// has changed.
func TestTalliesAreWatched(t *testing.T) {
	results := [][][]any{{{"a", 1}, {"b", 5}}, {{"a", 1}, {"b", 5}}, {{"a", 2}, {"b", 5}}, {{"a", 2}, {"b", 4}}}
	fetch := func(context.Context, []string) (rpc.ClusterState, error) {
		rows := results[0]
		results = results[1:]
		return rpc.ClusterState{Tables: []rpc.Table{{Name: "tallies", Columns: []string{"name", "total"}, Rows: rows}}}, nil
	}
	var out bytes.Buffer
	p := &program{stdout: &out, stderr: &out}
	code := p.watchRows(fetch, nil, talliesQuery, 0, 4)
	want := `{"name":"a","total":"1"}
{"name":"b","total":"5"}
{"name":"a","total":"2"}
{"name":"b","total":"4"}
`
	if code != exitOK || out.String() != want {
		t.Errorf("%d, %s", code, out.String())
	}
}
