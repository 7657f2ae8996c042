package sim

import (
	"fmt"
	"sort"
	"time"
)

// Kinds of calls that operators and clients make.
const (
	CallReplace = "Config.Replace"
	CallRead    = "Config.Read"
	CallHandIn  = "POST job"
	CallStatus  = "GET job"
	CallCancel  = "DELETE job"
)

// Call is one call at one daemon, as its caller saw it.
type Call struct {
	Sent, Done time.Time
	At         string // the daemon
	Kind       string
	Version    int64 // of the configuration sent or read
	Base       int64
	Text       string // the configuration sent or read, whole
	Invalid    bool   // it must not be taken
	Code       int    // 0: no answer, or it was lost on its way
	Retry      bool   // the answer said when to come back
}

// refuses tells whether a call's answer is a refusal for good: its caller
// doesn't send it again (PROTOCOL, the operator).
func (c Call) refuses() bool {
	return c.Code >= 400 && c.Code < 500 && c.Code != 408 && c.Code != 429
}

func (h *History) called(c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Calls = append(h.Calls, c)
}

// change is one configuration with all that its callers heard of it.
type change struct {
	version, base int64
	text          string
	invalid       bool
	acked         bool
	refused       bool
	refusedWith   int
	inForce       bool // acknowledged, read, or built upon
}

// changes gathers the configurations that were sent, by text.
func changes(h *History) map[string]*change {
	out, byVersion := map[string]*change{}, map[int64][]*change{}
	for _, c := range h.Calls {
		if c.Kind != CallReplace {
			continue
		}
		x := out[c.Text]
		if x == nil {
			x = &change{version: c.Version, base: c.Base, text: c.Text, invalid: c.Invalid}
			out[c.Text] = x
			byVersion[c.Version] = append(byVersion[c.Version], x)
		}
		x.acked = x.acked || c.Code == 200
		if c.refuses() {
			x.refused, x.refusedWith = true, c.Code
		}
	}
	for _, c := range h.Calls {
		if x := out[c.Text]; x != nil && c.Kind == CallRead && c.Code == 200 {
			x.inForce = true
		}
	}
	for _, x := range out {
		if x.acked {
			x.inForce = true
			// Why only one: with two of that number it isn't known which.
			if b := byVersion[x.base]; x.base > 0 && len(b) == 1 {
				b[0].inForce = true
			}
		}
	}
	return out
}

// configuration holds what operators saw against the rules on configuration
// (RULES, CONFIG; PROTOCOL, the operator): a register with conditional writes.
func configuration(h *History) (out []string) {
	all := changes(h)
	var force []*change
	for _, x := range all {
		switch {
		case x.invalid && x.inForce:
			out = append(out, fmt.Sprintf("version %d is invalid and was taken", x.version))
		case x.refused && x.acked:
			out = append(out, fmt.Sprintf("version %d on %d was acknowledged, and refused with %d", x.version, x.base, x.refusedWith))
		case x.refused && x.inForce:
			out = append(out, fmt.Sprintf("version %d on %d was refused with %d and is in force", x.version, x.base, x.refusedWith))
		}
		if x.inForce {
			force = append(force, x)
		}
	}
	sort.Slice(force, func(i, j int) bool {
		return force[i].version < force[j].version || force[i].version == force[j].version && force[i].text < force[j].text
	})
	for i := 1; i < len(force); i++ {
		a, b := force[i-1], force[i]
		switch {
		case a.version == b.version:
			out = append(out, fmt.Sprintf("two configurations of version %d were in force", a.version))
		case a.base == b.base:
			out = append(out, fmt.Sprintf("versions %d and %d, both on %d, were in force", a.version, b.version, a.base))
		case b.base < a.version:
			out = append(out, fmt.Sprintf("version %d on %d was taken though %d was in force", b.version, b.base, a.version))
		}
	}
	return append(out, reads(h, all)...)
}

// reads are the reads that gave what was no longer, or never, in force.
func reads(h *History, all map[string]*change) (out []string) {
	type mark struct {
		at      time.Time
		version int64
		how     string
	}
	var marks []mark
	for _, c := range h.Calls {
		switch {
		case c.Code != 200:
		case c.Kind == CallReplace:
			marks = append(marks, mark{c.Done, c.Version, "acknowledged"})
		case c.Kind == CallRead:
			marks = append(marks, mark{c.Done, c.Version, "read"})
		}
	}
	sort.SliceStable(marks, func(i, j int) bool { return marks[i].at.Before(marks[j].at) })
	newest := make([]mark, len(marks)) // the newest version at each mark
	for i, m := range marks {
		if newest[i] = m; i > 0 && newest[i-1].version > m.version {
			newest[i] = newest[i-1]
		}
	}
	for _, c := range h.Calls {
		if c.Kind != CallRead || c.Code != 200 && c.Code != 404 {
			continue
		}
		if c.Code == 200 && all[c.Text] == nil {
			out = append(out, fmt.Sprintf("%s answers with a version %d that nobody sent", c.At, c.Version))
			continue
		}
		i := sort.Search(len(marks), func(i int) bool { return !marks[i].at.Before(c.Sent) })
		if i > 0 && newest[i-1].version > c.Version {
			out = append(out, fmt.Sprintf("%s answers a read with version %d, %v after %d was %s", c.At, c.Version, c.Sent.Sub(newest[i-1].at), newest[i-1].version, newest[i-1].how))
		}
	}
	return out
}

// Bounds of the rule ALONE.
const (
	// aloneAfter is how long a daemon may take to see that it has lost the
	// majority: a leader's lease, and the ask that was under way.
	aloneAfter = 2 * time.Second
	// aloneAnswer is a caller's patience before it turns to another daemon.
	aloneAnswer = time.Second
)

// alone holds the answers of daemons without a majority in reach to point 1 of
// the control page: at once 503 and when to come back, nothing else.
func alone(h *History) (out []string) {
	type span struct{ from, to time.Time }
	spans, open := map[string][]span{}, map[string]time.Time{}
	for _, f := range h.Facts {
		switch f.Kind {
		case "alone":
			open[f.Node] = f.At
		case "joined":
			spans[f.Node] = append(spans[f.Node], span{open[f.Node], f.At})
		}
	}
	for _, c := range h.Calls {
		for _, s := range spans[c.At] {
			if c.Sent.Sub(s.from) < aloneAfter || !c.Done.Before(s.to) {
				continue
			}
			in := c.Done.Sub(c.Sent).Round(time.Millisecond)
			what := fmt.Sprintf("%s without a majority answers %s with %d after %v", c.At, c.Kind, c.Code, in)
			switch {
			case c.Code == 0:
				out = append(out, what+": no answer")
			case c.Code/100 == 2:
				out = append(out, what+": it confirms")
			case c.refuses():
				out = append(out, what+": it refuses for good")
			case c.Code != 503:
				out = append(out, what+": want 503")
			case in > aloneAnswer:
				out = append(out, what+": too late")
			case !c.Retry:
				out = append(out, what+": no time to come back")
			}
		}
	}
	return out
}
