package simulation

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkCoordination verifies the responses to applications against the operators' rules on
// locks, numbers, keys and watches. It returns a line for every violation. A watch can resume
// from any revision it received within historyLength.
func checkCoordination(h *CoordinationHistory, historyLength time.Duration) (violations []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations = append(violations, overlappingHolds(h.Holds)...)
	violations = append(violations, fencesOutOfOrder(h.Holds)...)
	violations = append(violations, numbersOutOfOrder(h.Numbers)...)
	revisions, more := revisionsByValue(h)
	violations = append(violations, more...)
	violations = append(violations, visibleRefusedPuts(h, revisions)...)
	violations = append(violations, watchViolations(h, revisions, historyLength)...)
	return append(violations, nonLinearizableKeys(h, revisions)...)
}

// overlappingHolds reports two callers that believe they hold the same lock at the same time.
func overlappingHolds(holds []*LockHold) (violations []string) {
	sorted := append([]*LockHold(nil), holds...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].From.Before(sorted[j].From) })
	last := map[string]*LockHold{} // by lock, the hold that ends last so far
	for _, hold := range sorted {
		before := last[hold.Lock]
		if before != nil && before.Holder != hold.Holder && hold.From.Before(before.Until) {
			violations = append(violations, fmt.Sprintf("ONE: %s and %s both hold %s for %v", before.Holder, hold.Holder, hold.Lock, before.Until.Sub(hold.From)))
		}
		if before == nil || hold.Until.After(before.Until) {
			last[hold.Lock] = hold
		}
	}
	return violations
}

// fencesOutOfOrder reports a fence that two holders received, or that is below one that another
// holder received before the call was sent.
func fencesOutOfOrder(holds []*LockHold) (violations []string) {
	for _, hold := range holds {
		for _, other := range holds {
			if other.Lock != hold.Lock || other.Holder == hold.Holder {
				continue
			}
			if other.Fence == hold.Fence || other.From.Before(hold.RequestedAt) && other.Fence > hold.Fence {
				violations = append(violations, fmt.Sprintf("ONE: %s gets fence %d of %s, %s had %d before", hold.Holder, hold.Fence, hold.Lock, other.Holder, other.Fence))
			}
		}
	}
	return violations
}

// numbersOutOfOrder reports a number that was issued twice, or that is below one that was issued
// before its call was sent.
func numbersOutOfOrder(numbers []IssuedNumber) (violations []string) {
	for i, number := range numbers {
		for j, other := range numbers {
			if i != j && other.Name == number.Name && (other.Value == number.Value || other.Done.Before(number.Sent) && other.Value > number.Value) {
				violations = append(violations, fmt.Sprintf("ORDER: %s gives %d after %d", number.Name, number.Value, other.Value))
			}
		}
	}
	return violations
}

// keyRevision is a revision of a key.
type keyRevision struct {
	key      string
	revision int64
}

// revisionsByValue returns the key and revision of each value that a put, a read or a watch
// returned. Values are unique, so it reports a value that has two revisions or that was not put
// to its key.
func revisionsByValue(h *CoordinationHistory) (map[string]keyRevision, []string) {
	var violations []string
	puts, revisions := map[string]string{}, map[string]keyRevision{}
	for _, call := range h.Keys {
		if call.Put {
			puts[call.Value] = call.Key
		}
	}
	observe := func(source, key, value string, revision int64) {
		shown := keyRevision{key, revision}
		if puts[value] != key {
			violations = append(violations, fmt.Sprintf("MIXED: %s of %s shows %q, which was not put to that key", source, key, value))
		}
		if before, ok := revisions[value]; ok && before != shown {
			violations = append(violations, fmt.Sprintf("MIXED: %q has revisions %d and, in a %s, %d", value, before.revision, source, revision))
		}
		revisions[value] = shown
	}
	for _, call := range h.Keys {
		switch {
		case call.Code != http.StatusOK:
		case call.Put:
			observe("put", call.Key, call.Value, call.Revision)
		default:
			observe("read", call.Key, call.Value, call.Revision)
		}
	}
	for _, watch := range h.Watches {
		for _, event := range watch.Response.Events {
			observe("watch", event.Name, event.Value, event.Revision)
		}
	}
	return revisions, violations
}

// visibleRefusedPuts reports a put that was refused although its value is visible, and a refusal
// with a revision that the key never had.
func visibleRefusedPuts(h *CoordinationHistory, revisions map[string]keyRevision) (violations []string) {
	existing := map[keyRevision]bool{}
	for _, shown := range revisions {
		existing[shown] = true
	}
	for _, call := range h.Keys {
		if !call.Put || call.Code == http.StatusOK || call.Code == 0 {
			continue
		}
		if _, shown := revisions[call.Value]; shown {
			violations = append(violations, fmt.Sprintf("REFUSED: %q got %d and is visible", call.Value, call.Code))
		}
		if call.Code == http.StatusPreconditionFailed && call.Revision != 0 && !existing[keyRevision{call.Key, call.Revision}] && !hasUnconfirmedPut(h, call.Key) {
			violations = append(violations, fmt.Sprintf("MIXED: a refusal has revision %d, which %s never had", call.Revision, call.Key))
		}
	}
	return violations
}

// hasUnconfirmedPut reports whether a put of the key has an unknown outcome, so that it may have
// created a revision that no caller saw.
func hasUnconfirmedPut(h *CoordinationHistory, key string) bool {
	for _, call := range h.Keys {
		if call.Put && call.Key == key && call.Code == 0 {
			return true
		}
	}
	return false
}

// watchViolations reports events of a watch whose revisions do not increase, puts within a
// watched range that are missing, and a revision that was returned within historyLength and
// cannot be resumed from.
func watchViolations(h *CoordinationHistory, revisions map[string]keyRevision, historyLength time.Duration) (violations []string) {
	issuedAt := map[string]map[int64]time.Time{} // by group and revision, when it was last returned
	watches := append([]WatchCall(nil), h.Watches...)
	sort.SliceStable(watches, func(i, j int) bool { return watches[i].Done.Before(watches[j].Done) })
	for _, watch := range watches {
		if issuedAt[watch.Group] == nil {
			issuedAt[watch.Group] = map[int64]time.Time{}
		}
		if watch.Code == http.StatusGone {
			if at := issuedAt[watch.Group][watch.After]; !at.IsZero() && watch.Sent.Sub(at) < historyLength {
				violations = append(violations, fmt.Sprintf("LOST: %s cannot be resumed from %d after %v", watch.Group, watch.After, watch.Sent.Sub(at)))
			}
			continue
		}
		issuedAt[watch.Group][watch.Response.Revision] = watch.Done
		if watch.After == 0 && len(watch.Response.Events) == 0 {
			continue
		}
		shown, last := map[int64]bool{}, watch.After
		for _, event := range watch.Response.Events {
			if event.Revision <= last || event.Revision > watch.Response.Revision {
				violations = append(violations, fmt.Sprintf("ORDER: a watch of %s shows %d after %d, up to %d", watch.Group, event.Revision, last, watch.Response.Revision))
			}
			last, shown[event.Revision] = event.Revision, true
		}
		for value, put := range revisions {
			if strings.HasPrefix(put.key, watch.Group) && put.revision > watch.After && put.revision <= watch.Response.Revision && !shown[put.revision] {
				violations = append(violations, fmt.Sprintf("ORDER: a watch of %s from %d to %d skips %d, %q", watch.Group, watch.After, watch.Response.Revision, put.revision, value))
			}
		}
	}
	return violations
}

// keyState is the state of one key in the linearizability model.
type keyState struct {
	revision int64
	value    string
}

// step applies a call to the sequential model, a register with conditional writes: a put
// succeeds only at the expected revision. It reports whether the response fits the state.
func (s keyState) step(call KeyCall) (bool, keyState) {
	if !call.Put {
		return call.Revision == s.revision && call.Value == s.value, s
	}
	if call.Code == http.StatusOK {
		return call.Expected == s.revision && call.Revision > s.revision, keyState{call.Revision, call.Value}
	}
	return call.Expected != s.revision && call.Revision == s.revision, s
}

var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		ok, next := state.(keyState).step(input.(KeyCall))
		return ok, next
	},
}

// nonLinearizableKeys reports keys whose calls are not linearizable: no sequential order, with
// each call between its sending and its response, explains all responses. A put with an unknown
// outcome took effect if its value was ever visible, at any time after it was sent. If its value
// was never visible, no caller can tell whether it took effect, and it is left out.
func nonLinearizableKeys(h *CoordinationHistory, revisions map[string]keyRevision) (violations []string) {
	calls := map[string][]porcupine.Operation{}
	end := time.Now()
	for _, call := range h.Keys {
		done := call.Done
		if call.Put && call.Code == 0 {
			shown, ok := revisions[call.Value]
			if !ok {
				continue
			}
			call.Code, call.Revision, done = http.StatusOK, shown.revision, end
		}
		if call.Put && call.Code == http.StatusServiceUnavailable {
			continue
		}
		calls[call.Key] = append(calls[call.Key], porcupine.Operation{Input: call, Call: call.Sent.UnixNano(), Return: done.UnixNano()})
	}
	for key, operations := range calls {
		if porcupine.CheckOperationsTimeout(keyModel, operations, 10*time.Second) == porcupine.Illegal {
			violations = append(violations, fmt.Sprintf("STALE or ORDER: the %d calls of %s are not linearizable", len(operations), key))
		}
	}
	return violations
}
