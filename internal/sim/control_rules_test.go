package sim

import (
	"strings"
	"testing"
	"time"
)

// sec is a time of a made-up history.
func sec(s float64) time.Time { return time.Unix(100, 0).Add(time.Duration(s * float64(time.Second))) }

func put(s float64, v, base int64, text string, code int) Call {
	return Call{Sent: sec(s), Done: sec(s + 0.1), At: "a", Kind: CallReplace, Version: v, Base: base, Text: text, Code: code}
}

func read(s float64, v int64, text string) Call {
	return Call{Sent: sec(s), Done: sec(s + 0.1), At: "a", Kind: CallRead, Version: v, Text: text, Code: 200}
}

func answer(s, after float64, kind string, code int, retry bool) Call {
	return Call{Sent: sec(s), Done: sec(s + after), At: "a", Kind: kind, Code: code, Retry: retry}
}

// TestOperatorRulesCatchPlantedBreaks shows that each demand on operators'
// calls can fail.
func TestOperatorRulesCatchPlantedBreaks(t *testing.T) {
	bad := put(3, 5, 2, "x", 200)
	bad.Invalid = true
	none := Call{Sent: sec(3), Done: sec(3.1), At: "a", Kind: CallRead, Code: 404}
	for name, c := range map[string]struct {
		want  string
		calls []Call
	}{
		"both racers":          {"both on 2", []Call{put(1, 3, 2, "x", 200), put(1, 4, 2, "y", 200)}},
		"one number twice":     {"two configurations of version 3", []Call{put(1, 3, 2, "x", 200), put(1, 3, 2, "y", 0), read(2, 3, "x"), read(3, 3, "y")}},
		"sent again":           {"acknowledged, and refused with 412", []Call{put(1, 3, 2, "x", 200), put(2, 3, 2, "x", 412)}},
		"refused and read":     {"refused with 412 and is in force", []Call{put(1, 3, 2, "x", 412), read(2, 3, "x")}},
		"refused and built on": {"refused with 409 and is in force", []Call{put(1, 3, 2, "x", 409), put(2, 4, 3, "y", 200)}},
		"old read":             {"after 3 was acknowledged", []Call{put(0, 2, 1, "w", 0), put(1, 3, 2, "x", 200), read(2, 2, "w")}},
		"read goes back":       {"after 3 was read", []Call{put(0, 2, 1, "w", 0), put(1, 3, 2, "x", 0), read(2, 3, "x"), read(3, 2, "w")}},
		"nothing is read":      {"after 3 was acknowledged", []Call{put(1, 3, 2, "x", 200), none}},
		"sent by nobody":       {"that nobody sent", []Call{read(2, 3, "x")}},
		"passed over":          {"though 3 was in force", []Call{put(1, 3, 2, "x", 200), put(2, 4, 1, "y", 200)}},
		"invalid":              {"is invalid and was taken", []Call{bad}},
	} {
		h := NewHistory()
		h.Calls = c.calls
		got := strings.Join(h.Broken(), "; ")
		if !strings.Contains(got, "CONFIG:") || !strings.Contains(got, c.want) {
			t.Errorf("%s was not caught, only %q", name, got)
		}
	}
}

// TestRuleOnLonelyDaemonsCatchesPlantedBreaks does the same for ALONE.
func TestRuleOnLonelyDaemonsCatchesPlantedBreaks(t *testing.T) {
	cut := []Fact{{At: sec(0), Kind: "alone", Node: "a"}, {At: sec(20), Kind: "joined", Node: "a"}}
	for name, c := range map[string]struct {
		want string
		call Call
	}{
		"silent":        {"no answer", answer(5, 1, CallRead, 0, false)},
		"old read":      {"it confirms", answer(5, 0.1, CallRead, 200, false)},
		"confirms":      {"it confirms", answer(5, 0.1, CallReplace, 200, false)},
		"404":           {"refuses for good", answer(5, 0.1, CallStatus, 404, false)},
		"410":           {"refuses for good", answer(5, 0.1, CallStatus, 410, false)},
		"409":           {"refuses for good", answer(5, 0.1, CallReplace, 409, false)},
		"412":           {"refuses for good", answer(5, 0.1, CallReplace, 412, false)},
		"422":           {"refuses for good", answer(5, 0.1, CallReplace, 422, false)},
		"unclear":       {"want 503", answer(5, 0.1, CallReplace, 504, false)},
		"late":          {"too late", answer(5, 1.2, CallStatus, 503, true)},
		"no time given": {"no time to come back", answer(5, 0.1, CallStatus, 503, false)},
	} {
		h := NewHistory()
		h.Facts, h.Calls = cut, []Call{c.call}
		if got := strings.Join(h.Broken(), "; "); !strings.Contains(got, "ALONE:") || !strings.Contains(got, c.want) {
			t.Errorf("%s was not caught, only %q", name, got)
		}
	}
}

// TestSoundOperatorsBreakNothing: what the pages allow is no break.
func TestSoundOperatorsBreakNothing(t *testing.T) {
	h := NewHistory()
	h.Facts = []Fact{{At: sec(20), Kind: "alone", Node: "a"}, {At: sec(40), Kind: "joined", Node: "a"}}
	bad := put(4, 9, 3, "bad", 400)
	bad.Invalid = true
	h.Calls = []Call{
		put(1, 3, 0, "x", 0), put(2, 3, 0, "x", 200), put(3, 3, 0, "x", 200), // sent again
		put(2, 4, 0, "y", 412), // lost its race
		bad,
		put(5, 5, 3, "z", 0), read(5.05, 3, "x"), read(6, 5, "z"), // unclear, and in force
		put(7, 6, 5, "w", 0), read(8, 5, "z"), // unclear, and not in force
		answer(20.5, 0.1, CallStatus, 410, false), answer(39.5, 1, CallStatus, 410, false), // at the edges of the cut
		answer(30, 0.1, CallReplace, 503, true),
	}
	if b := h.Broken(); len(b) > 0 {
		t.Error(b)
	}
}
