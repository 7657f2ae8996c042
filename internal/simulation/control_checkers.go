package simulation

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// sentConfiguration is a configuration that was sent, with all responses about it.
type sentConfiguration struct {
	version, base int64
	text          string
	invalid       bool
	acknowledged  bool
	refused       bool
	refusalCode   int
	inForce       bool // acknowledged, read, or the base of an acknowledged one
}

// sentConfigurations returns the configurations that were sent, keyed by their text.
func sentConfigurations(h *History) map[string]*sentConfiguration {
	byText, byVersion := map[string]*sentConfiguration{}, map[int64][]*sentConfiguration{}
	for _, call := range h.Calls {
		if call.Kind != CallReplace {
			continue
		}
		sent := byText[call.Text]
		if sent == nil {
			sent = &sentConfiguration{version: call.Version, base: call.Base, text: call.Text, invalid: call.Invalid}
			byText[call.Text] = sent
			byVersion[call.Version] = append(byVersion[call.Version], sent)
		}
		sent.acknowledged = sent.acknowledged || call.Code == http.StatusOK
		if call.isFinalRefusal() {
			sent.refused, sent.refusalCode = true, call.Code
		}
	}
	for _, call := range h.Calls {
		if sent := byText[call.Text]; sent != nil && call.Kind == CallRead && call.Code == http.StatusOK {
			sent.inForce = true
		}
	}
	for _, sent := range byText {
		if sent.acknowledged {
			sent.inForce = true
			// If two configurations have that version, it is unknown which one is the base.
			if bases := byVersion[sent.base]; sent.base > 0 && len(bases) == 1 {
				bases[0].inForce = true
			}
		}
	}
	return byText
}

// checkConfiguration verifies that the configuration behaves as a register with conditional
// writes: each version in force is based on the previous one, acknowledged versions are in
// force and refused ones are not, and reads are linearizable.
func checkConfiguration(h *History) (violations []string) {
	byText := sentConfigurations(h)
	var inForce []*sentConfiguration
	for _, sent := range byText {
		switch {
		case sent.invalid && sent.inForce:
			violations = append(violations, fmt.Sprintf("version %d is invalid and was accepted", sent.version))
		case sent.refused && sent.acknowledged:
			violations = append(violations, fmt.Sprintf("version %d on %d was acknowledged, and refused with %d", sent.version, sent.base, sent.refusalCode))
		case sent.refused && sent.inForce:
			violations = append(violations, fmt.Sprintf("version %d on %d was refused with %d and is in force", sent.version, sent.base, sent.refusalCode))
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
			violations = append(violations, fmt.Sprintf("two configurations of version %d were in force", earlier.version))
		case earlier.base == later.base:
			violations = append(violations, fmt.Sprintf("versions %d and %d, both on %d, were in force", earlier.version, later.version, earlier.base))
		case later.base < earlier.version:
			violations = append(violations, fmt.Sprintf("version %d on %d was accepted though %d was in force", later.version, later.base, earlier.version))
		}
	}
	return append(violations, staleReads(h, byText)...)
}

// observation is a response to some caller that shows that a version is in force.
type observation struct {
	at      time.Time
	version int64
	how     string
}

// observe returns all observations in order of time, and for each the observation with the
// newest version up to that time.
func observe(h *History) (observations, newest []observation) {
	for _, call := range h.Calls {
		switch {
		case call.Code != http.StatusOK:
		case call.Kind == CallReplace:
			observations = append(observations, observation{call.Done, call.Version, "acknowledged"})
		case call.Kind == CallRead:
			observations = append(observations, observation{call.Done, call.Version, "read"})
		}
	}
	sort.SliceStable(observations, func(i, j int) bool { return observations[i].at.Before(observations[j].at) })
	newest = make([]observation, len(observations))
	for i, observed := range observations {
		if newest[i] = observed; i > 0 && newest[i-1].version > observed.version {
			newest[i] = newest[i-1]
		}
	}
	return observations, newest
}

// staleReads reports reads that returned a version that was no longer, or never, in force.
func staleReads(h *History, byText map[string]*sentConfiguration) (violations []string) {
	observations, newest := observe(h)
	for _, call := range h.Calls {
		if call.Kind != CallRead || call.Code != http.StatusOK && call.Code != http.StatusNotFound {
			continue
		}
		if call.Code == http.StatusOK && byText[call.Text] == nil {
			violations = append(violations, fmt.Sprintf("%s answers a read with version %d, which was never sent", call.Node, call.Version))
			continue
		}
		i := sort.Search(len(observations), func(i int) bool { return !observations[i].at.Before(call.Sent) })
		if i > 0 && newest[i-1].version > call.Version {
			violations = append(violations, fmt.Sprintf("%s answers a read with version %d, %v after %d was %s", call.Node, call.Version, call.Sent.Sub(newest[i-1].at), newest[i-1].version, newest[i-1].how))
		}
	}
	return violations
}

const (
	// isolationGrace is how long a node may take to detect that it has lost the majority:
	// the duration of a leader's lease, plus a request that was in progress.
	isolationGrace = 2 * time.Second
	// isolatedAnswerTimeout is how long callers wait before they try another node.
	isolatedAnswerTimeout = time.Second
)

// checkIsolatedAnswers verifies that a node without a majority answers every call within
// isolatedAnswerTimeout, with 503 and a Retry-After header, as the operators' control API
// requires.
func checkIsolatedAnswers(h *History) (violations []string) {
	type period struct{ from, to time.Time }
	isolated, since := map[string][]period{}, map[string]time.Time{}
	for _, event := range h.Events {
		switch event.Kind {
		case EventIsolated:
			since[event.Node] = event.At
		case EventReconnected:
			isolated[event.Node] = append(isolated[event.Node], period{since[event.Node], event.At})
		}
	}
	for _, call := range h.Calls {
		for _, p := range isolated[call.Node] {
			if call.Sent.Sub(p.from) < isolationGrace || !call.Done.Before(p.to) {
				continue
			}
			if fault := call.isolationViolation(); fault != "" {
				violations = append(violations, fmt.Sprintf("%s without a majority answers %s with %d after %v: %s", call.Node, call.Kind, call.Code, call.Done.Sub(call.Sent).Round(time.Millisecond), fault))
			}
		}
	}
	return violations
}

// isolationViolation describes what is wrong with the response of an isolated node. It is
// empty if the response is correct.
func (c Call) isolationViolation() string {
	switch {
	case c.Code == 0:
		return "no response"
	case c.Code/100 == 2:
		return "success without a majority"
	case c.isFinalRefusal():
		return "final refusal"
	case c.Code != http.StatusServiceUnavailable:
		return "want 503"
	case c.Done.Sub(c.Sent).Round(time.Millisecond) > isolatedAnswerTimeout:
		return "response after the timeout"
	case !c.HasRetryAfter:
		return "no Retry-After header"
	}
	return ""
}
