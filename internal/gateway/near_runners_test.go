package gateway

import (
	"testing"

	"tealpond/internal/registry"
)

// TestLacksNearRunners checks that a daemon needs runners of other zones if its zone has too
// few runners of a service or more draining than active ones, and not before it has a list.
func TestLacksNearRunners(t *testing.T) {
	h := newHarness(t)
	for _, c := range []struct {
		near, leaving, far int
		want               bool
	}{
		{near: 3, want: false},
		{near: 2, far: 9, want: true},
		{near: 4, leaving: 4, want: false},
		{near: 4, leaving: 5, want: true},
		{far: 9, want: true},
	} {
		var list []registry.Runner
		add := func(count int, zone string, draining bool) {
			for range count {
				list = append(list, registry.Runner{ID: string(rune('a' + len(list))), Service: "s", Zone: zone, Draining: draining})
			}
		}
		add(c.near, "z", false)
		add(c.leaving, "z", true)
		add(c.far, "y", false)
		h.proxy.SetRunners(list, Position{Total: 1})
		if got := h.proxy.LacksNearRunners(); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
	if New(Options{Zone: "z"}).LacksNearRunners() {
		t.Error("reported before a configuration is known")
	}
}
