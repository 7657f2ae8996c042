package simulation

import (
	"fmt"
	"sort"
	"time"
)

// Kinds of calls that operators and clients make.
const (
	CallReplace = "Config.Replace"
	CallRead    = "Config.Read"
	CallSubmit  = "POST job"
	CallStatus  = "GET job"
	CallCancel  = "DELETE job"
)

// Call is one call at one daemon, as its caller saw it.
type Call struct {
	Sent, Done    time.Time
	Node          string // the daemon
	Kind          string
	Version       int64 // of the configuration sent or read
	Base          int64
	Text          string // the configuration sent or read, whole
	Invalid       bool   // it must not be taken
	Code          int    // 0: no answer, or it was lost on its way
	HasRetryAfter bool   // the answer said when to come back
}

// isFinalRefusal tells whether a call's answer is a refusal for good: its caller
// doesn't send it again (PROTOCOL, the operator).
func (c Call) isFinalRefusal() bool {
	return c.Code >= 400 && c.Code < 500 && c.Code != 408 && c.Code != 429
}

func (h *History) recordCall(c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Calls = append(h.Calls, c)
}

// sentConfiguration is one configuration with all that its callers heard of it.
type sentConfiguration struct {
	version, base int64
	text          string
	invalid       bool
	acknowledged  bool
	refused       bool
	refusalCode   int
	inForce       bool // acknowledged, read, or built upon
}

// sentConfigurations gathers the configurations that were sent, by text.
func sentConfigurations(h *History) map[string]*sentConfiguration {
	out, byVersion := map[string]*sentConfiguration{}, map[int64][]*sentConfiguration{}
	for _, call := range h.Calls {
		if call.Kind != CallReplace {
			continue
		}
		sent := out[call.Text]
		if sent == nil {
			sent = &sentConfiguration{version: call.Version, base: call.Base, text: call.Text, invalid: call.Invalid}
			out[call.Text] = sent
			byVersion[call.Version] = append(byVersion[call.Version], sent)
		}
		sent.acknowledged = sent.acknowledged || call.Code == 200
		if call.isFinalRefusal() {
			sent.refused, sent.refusalCode = true, call.Code
		}
	}
	for _, call := range h.Calls {
		if sent := out[call.Text]; sent != nil && call.Kind == CallRead && call.Code == 200 {
			sent.inForce = true
		}
	}
	for _, sent := range out {
		if sent.acknowledged {
			sent.inForce = true
			// Why only one: with two of that number it isn't known which.
			if bases := byVersion[sent.base]; sent.base > 0 && len(bases) == 1 {
				bases[0].inForce = true
			}
		}
	}
	return out
}

// checkConfiguration holds what operators saw against the rules on configuration
// (RULES, CONFIG; PROTOCOL, the operator): a register with conditional writes.
func checkConfiguration(h *History) (out []string) {
	all := sentConfigurations(h)
	var inForce []*sentConfiguration
	for _, sent := range all {
		switch {
		case sent.invalid && sent.inForce:
			out = append(out, fmt.Sprintf("version %d is invalid and was taken", sent.version))
		case sent.refused && sent.acknowledged:
			out = append(out, fmt.Sprintf("version %d on %d was acknowledged, and refused with %d", sent.version, sent.base, sent.refusalCode))
		case sent.refused && sent.inForce:
			out = append(out, fmt.Sprintf("version %d on %d was refused with %d and is in force", sent.version, sent.base, sent.refusalCode))
		}
		if sent.inForce {
			inForce = append(inForce, sent)
		}
	}
	sort.Slice(inForce, func(i, j int) bool {
		return inForce[i].version < inForce[j].version || inForce[i].version == inForce[j].version && inForce[i].text < inForce[j].text
	})
	for i := 1; i < len(inForce); i++ {
		earlier, later := inForce[i-1], inForce[i]
		switch {
		case earlier.version == later.version:
			out = append(out, fmt.Sprintf("two configurations of version %d were in force", earlier.version))
		case earlier.base == later.base:
			out = append(out, fmt.Sprintf("versions %d and %d, both on %d, were in force", earlier.version, later.version, earlier.base))
		case later.base < earlier.version:
			out = append(out, fmt.Sprintf("version %d on %d was taken though %d was in force", later.version, later.base, earlier.version))
		}
	}
	return append(out, staleReads(h, all)...)
}

// staleReads are the reads that gave what was no longer, or never, in force.
func staleReads(h *History, all map[string]*sentConfiguration) (out []string) {
	type mark struct {
		at      time.Time
		version int64
		how     string
	}
	var marks []mark
	for _, call := range h.Calls {
		switch {
		case call.Code != 200:
		case call.Kind == CallReplace:
			marks = append(marks, mark{call.Done, call.Version, "acknowledged"})
		case call.Kind == CallRead:
			marks = append(marks, mark{call.Done, call.Version, "read"})
		}
	}
	sort.SliceStable(marks, func(i, j int) bool { return marks[i].at.Before(marks[j].at) })
	newest := make([]mark, len(marks)) // the newest version at each mark
	for i, m := range marks {
		if newest[i] = m; i > 0 && newest[i-1].version > m.version {
			newest[i] = newest[i-1]
		}
	}
	for _, call := range h.Calls {
		if call.Kind != CallRead || call.Code != 200 && call.Code != 404 {
			continue
		}
		if call.Code == 200 && all[call.Text] == nil {
			out = append(out, fmt.Sprintf("%s answers with a version %d that nobody sent", call.Node, call.Version))
			continue
		}
		i := sort.Search(len(marks), func(i int) bool { return !marks[i].at.Before(call.Sent) })
		if i > 0 && newest[i-1].version > call.Version {
			out = append(out, fmt.Sprintf("%s answers a read with version %d, %v after %d was %s", call.Node, call.Version, call.Sent.Sub(newest[i-1].at), newest[i-1].version, newest[i-1].how))
		}
	}
	return out
}

// Bounds of the rule ALONE.
const (
	// isolationGrace is how long a daemon may take to see that it has lost the
	// majority: a leader's lease, and the ask that was under way.
	isolationGrace = 2 * time.Second
	// isolatedAnswerTimeout is a caller's patience before it turns to another daemon.
	isolatedAnswerTimeout = time.Second
)

// checkIsolatedAnswers holds the answers of daemons without a majority in reach to point 1 of
// the control page: at once 503 and when to come back, nothing else.
func checkIsolatedAnswers(h *History) (out []string) {
	type span struct{ from, to time.Time }
	spans, open := map[string][]span{}, map[string]time.Time{}
	for _, event := range h.Events {
		switch event.Kind {
		case "alone":
			open[event.Node] = event.At
		case "joined":
			spans[event.Node] = append(spans[event.Node], span{open[event.Node], event.At})
		}
	}
	for _, call := range h.Calls {
		for _, period := range spans[call.Node] {
			if call.Sent.Sub(period.from) < isolationGrace || !call.Done.Before(period.to) {
				continue
			}
			in := call.Done.Sub(call.Sent).Round(time.Millisecond)
			what := fmt.Sprintf("%s without a majority answers %s with %d after %v", call.Node, call.Kind, call.Code, in)
			switch {
			case call.Code == 0:
				out = append(out, what+": no answer")
			case call.Code/100 == 2:
				out = append(out, what+": it confirms")
			case call.isFinalRefusal():
				out = append(out, what+": it refuses for good")
			case call.Code != 503:
				out = append(out, what+": want 503")
			case in > isolatedAnswerTimeout:
				out = append(out, what+": too late")
			case !call.HasRetryAfter:
				out = append(out, what+": no time to come back")
			}
		}
	}
	return out
}
