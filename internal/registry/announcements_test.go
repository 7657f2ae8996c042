package registry

import (
	"testing"
	"time"
)

// TestAnnouncements: what the list says after heartbeats and sign-offs that come late, twice
// or in another order, and after silence.
func TestAnnouncements(t *testing.T) {
	const silence, goesOn = 3 * time.Second, 2 * time.Second
	start := time.Unix(1000, 0)
	ready, draining := Runner{ID: "a", Service: "s", Address: "10.0.0.1:80", Slots: 2}, Runner{ID: "a", Service: "s", Address: "10.0.0.1:80", Slots: 2, Draining: true}
	beat := func(runner Runner, sequence int64) func(a *Announcements, now time.Time) bool {
		return func(a *Announcements, now time.Time) bool { return a.Heartbeat(runner, sequence, now) }
	}
	signOff := func(a *Announcements, now time.Time) bool { return a.SignOff("a", goesOn, now) }
	expire := func(a *Announcements, now time.Time) bool { return a.Expire(now) }
	for _, test := range []struct {
		name  string
		steps []func(a *Announcements, now time.Time) bool // a second apart
		want  []string                                     // after each: what the list says, with ! if that has changed
	}{
		{"heartbeats", []func(*Announcements, time.Time) bool{beat(ready, 1), beat(ready, 2)}, []string{"ready!", "ready"}},
		{"a drain", []func(*Announcements, time.Time) bool{beat(ready, 1), beat(draining, 2), beat(draining, 3)}, []string{"ready!", "draining!", "draining"}},
		{"a late heartbeat after a drain", []func(*Announcements, time.Time) bool{beat(ready, 1), beat(draining, 3), beat(ready, 2), beat(ready, 4)}, []string{"ready!", "draining!", "draining", "draining"}},
		{"silence", []func(*Announcements, time.Time) bool{beat(ready, 1), expire, expire, expire, expire}, []string{"ready!", "ready", "ready", "ready", "!"}},
		{"back after silence", []func(*Announcements, time.Time) bool{beat(ready, 1), expire, expire, expire, expire, beat(ready, 2)}, []string{"ready!", "ready", "ready", "ready", "!", "ready!"}},
		{"a sign-off without a drain", []func(*Announcements, time.Time) bool{beat(ready, 1), signOff, beat(ready, 2), expire, beat(ready, 3)}, []string{"ready!", "draining!", "draining", "!", ""}},
		{"a sign-off that is repeated", []func(*Announcements, time.Time) bool{beat(ready, 1), signOff, signOff, expire}, []string{"ready!", "draining!", "draining", "!"}},
		{"a sign-off before any heartbeat", []func(*Announcements, time.Time) bool{signOff, beat(ready, 1)}, []string{"", ""}},
	} {
		a := NewAnnouncements(silence)
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

// TestRunnersThatLeftAreForgotten: what is remembered of them doesn't grow without bound.
func TestRunnersThatLeftAreForgotten(t *testing.T) {
	a, now := NewAnnouncements(time.Second), time.Unix(1000, 0)
	for i := range 500 {
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		a.Heartbeat(Runner{ID: id}, 1, now)
		a.SignOff(id, 0, now)
		now = now.Add(100 * time.Millisecond)
		a.Expire(now)
	}
	if len(a.left) > 10*leftRetention+1 || len(a.runners) > 0 {
		t.Errorf("%d that left are remembered, %d are listed", len(a.left), len(a.runners))
	}
}
