package gateway

import (
	"testing"

	"tealpond/internal/registry"
)

// TestLacksLocalRunners checks that a daemon needs runners of other zones if its zone has too
// few runners of a service or more draining than active ones, and not before it has a list.
func TestLacksLocalRunners(t *testing.T) {
	h := newHarness(t)
	for _, c := range []struct {
		local, leaving, remote int
		want                   bool
	}{
		{local: 3, want: false},
		{local: 2, remote: 9, want: true},
		{local: 4, leaving: 4, want: false},
		{local: 4, leaving: 5, want: true},
		{remote: 9, want: true},
	} {
		var list []registry.Runner
		add := func(count int, zone string, draining bool) {
			for range count {
				list = append(list, registry.Runner{ID: string(rune('a' + len(list))), Service: "s", Zone: zone, Draining: draining})
			}
		}
		add(c.local, "z", false)
		add(c.leaving, "z", true)
		add(c.remote, "y", false)
		h.proxy.SetRunners(list, Position{Total: 1})
		if got := h.proxy.LacksLocalRunners(); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
	if New(Options{Zone: "z"}).LacksLocalRunners() {
		t.Error("reported before a configuration is known")
	}
}
