package gateway

import (
	"testing"

	"tealpond/internal/registry"
)

// TestWhoLacksNearRunners: a daemon whose zone has hardly a runner of a service, or more that
// leave than stay, needs to know of those of other zones; one without a list doesn't know.
func TestWhoLacksNearRunners(t *testing.T) {
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
			t.Errorf("%+v: %v", c, got)
		}
	}
	if New(Options{Zone: "z"}).LacksNearRunners() {
		t.Error("without a configuration")
	}
}
