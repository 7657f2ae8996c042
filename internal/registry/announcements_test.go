package registry

import (
	"testing"
	"time"
)

// TestAnnouncements checks the list after heartbeats and sign-offs that arrive late, twice or out
// of order, and after missing heartbeats.
func TestAnnouncements(t *testing.T) {
	const heartbeatTimeout, gracePeriod = 3 * time.Second, 2 * time.Second
	start := time.Unix(1000, 0)
	ready, draining := Runner{ID: "a", Service: "s", Address: "10.0.0.1:80", Slots: 2},
		Runner{ID: "a", Service: "s", Address: "10.0.0.1:80", Slots: 2, Draining: true}
	heartbeat := func(runner Runner, sequence int64) func(a *Announcements, now time.Time) bool {
		return func(a *Announcements, now time.Time) bool { return a.Heartbeat(runner, sequence, now) }
	}
	signOff := func(a *Announcements, now time.Time) bool { return a.SignOff("a", gracePeriod, now) }
	expire := func(a *Announcements, now time.Time) bool { return a.Expire(now) }
	for _, test := range []struct {
		name  string
		steps []func(a *Announcements, now time.Time) bool // a second apart
		want  []string                                     // listed state after each step, ! if the list changed
	}{
		{"heartbeats", []func(*Announcements, time.Time) bool{heartbeat(ready, 1), heartbeat(ready, 2)},
			[]string{"ready!", "ready"}},
		{"a drain",
			[]func(*Announcements, time.Time) bool{heartbeat(ready, 1), heartbeat(draining, 2), heartbeat(draining, 3)},
			[]string{"ready!", "draining!", "draining"}},
		{"a late heartbeat after a drain",
			[]func(*Announcements, time.Time) bool{heartbeat(ready, 1), heartbeat(draining, 3),
				heartbeat(ready, 2), heartbeat(ready, 4)},
			[]string{"ready!", "draining!", "draining", "draining"}},
		{"missing heartbeats",
			[]func(*Announcements, time.Time) bool{heartbeat(ready, 1), expire, expire, expire, expire},
			[]string{"ready!", "ready", "ready", "ready", "!"}},
		{"a heartbeat after expiry",
			[]func(*Announcements, time.Time) bool{heartbeat(ready, 1), expire, expire, expire, expire,
				heartbeat(ready, 2)},
			[]string{"ready!", "ready", "ready", "ready", "!", "ready!"}},
		{"a sign-off without a drain",
			[]func(*Announcements, time.Time) bool{heartbeat(ready, 1), signOff, heartbeat(ready, 2),
				expire, heartbeat(ready, 3)},
			[]string{"ready!", "draining!", "draining", "!", ""}},
		{"a repeated sign-off", []func(*Announcements, time.Time) bool{heartbeat(ready, 1), signOff, signOff, expire},
			[]string{"ready!", "draining!", "draining", "!"}},
		{"a sign-off before any heartbeat", []func(*Announcements, time.Time) bool{signOff, heartbeat(ready, 1)},
			[]string{"", ""}},
	} {
		a := NewAnnouncements(heartbeatTimeout)
		for i, step := range test.steps {
			got := ""
			changed := step(a, start.Add(time.Duration(i)*time.Second))
			for _, runner := range a.Runners() {
				got = map[bool]string{false: "ready", true: "draining"}[runner.Draining]
			}
			if changed {
				got += "!"
			}
			if got != test.want[i] {
				t.Errorf("%s, step %d: %q, want %q", test.name, i, got, test.want[i])
			}
		}
	}
}

// TestDepartedRunnersAreForgotten checks that the record of departed runners doesn't grow without
// bound.
func TestDepartedRunnersAreForgotten(t *testing.T) {
	a, now := NewAnnouncements(time.Second), time.Unix(1000, 0)
	for i := range 500 {
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		a.Heartbeat(Runner{ID: id}, 1, now)
		a.SignOff(id, 0, now)
		now = now.Add(100 * time.Millisecond)
		a.Expire(now)
	}
	if len(a.departed) > 10*departedRetentionFactor+1 || len(a.runners) > 0 {
		t.Errorf("%d departed runners are remembered, %d runners are listed", len(a.departed), len(a.runners))
	}
}
