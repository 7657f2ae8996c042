package simulation

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkCoordination holds what applications were told against the operators' rules on
// locks, numbers, keys and watches; it gives a line for every violation. A watch may
// resume for the length of the history.
func checkCoordination(h *CoordinationHistory, historyLength time.Duration) (violations []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations = append(violations, overlappingHolds(h.Holds)...)
	violations = append(violations, fencesOutOfOrder(h.Holds)...)
	violations = append(violations, numbersOutOfOrder(h.Numbers)...)
	revisions, more := revisionsOfValues(h)
	violations = append(violations, more...)
	violations = append(violations, refusedAndShown(h, revisions)...)
	violations = append(violations, brokenWatches(h, revisions, historyLength)...)
	return append(violations, nonLinearizableKeys(h, revisions)...)
}

// overlappingHolds: at one moment two callers count themselves holders of one lock.
func overlappingHolds(holds []*LockHold) (violations []string) {
	sorted := append([]*LockHold(nil), holds...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].From.Before(sorted[j].From) })
	last := map[string]*LockHold{} // by lock, the hold that lasts longest so far
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

// fencesOutOfOrder: a fence isn't above one that another holder got before the call was
// sent, or goes to two holders.
func fencesOutOfOrder(holds []*LockHold) (violations []string) {
	for _, hold := range holds {
		for _, other := range holds {
			if other.Lock != hold.Lock || other.Holder == hold.Holder {
				continue
			}
			if other.Fence == hold.Fence || other.From.Before(hold.AskedAt) && other.Fence > hold.Fence {
				violations = append(violations, fmt.Sprintf("ONE: %s gets fence %d of %s, %s had %d before", hold.Holder, hold.Fence, hold.Lock, other.Holder, other.Fence))
			}
		}
	}
	return violations
}

// numbersOutOfOrder: a number is given twice, or isn't above one given before its call.
func numbersOutOfOrder(numbers []NumberGiven) (violations []string) {
	for i, number := range numbers {
		for j, other := range numbers {
			if i != j && other.Name == number.Name && (other.Value == number.Value || other.Done.Before(number.Sent) && other.Value > number.Value) {
				violations = append(violations, fmt.Sprintf("ORDER: %s gives %d after %d", number.Name, number.Value, other.Value))
			}
		}
	}
	return violations
}

// shownValue is a value of a key as somebody was shown it.
type shownValue struct {
	key      string
	revision int64
}

// revisionsOfValues gathers the revision of each value that was acknowledged or shown:
// each has one, of a key to which it was put.
func revisionsOfValues(h *CoordinationHistory) (map[string]shownValue, []string) {
	var violations []string
	puts, revisions := map[string]string{}, map[string]shownValue{}
	for _, call := range h.Keys {
		if call.Put {
			puts[call.Value] = call.Key
		}
	}
	show := func(how, key, value string, revision int64) {
		shown := shownValue{key, revision}
		if puts[value] != key {
			violations = append(violations, fmt.Sprintf("MIXED: %s of %s shows %q, which nobody put there", how, key, value))
		}
		if before, ok := revisions[value]; ok && before != shown {
			violations = append(violations, fmt.Sprintf("MIXED: %q has revisions %d and, by a %s, %d", value, before.revision, how, revision))
		}
		revisions[value] = shown
	}
	for _, call := range h.Keys {
		switch {
		case call.Code != http.StatusOK:
		case call.Put:
			show("put", call.Key, call.Value, call.Revision)
		default:
			show("read", call.Key, call.Value, call.Revision)
		}
	}
	for _, watch := range h.Watches {
		for _, event := range watch.WatchResult.Events {
			show("watch", event.Name, event.Value, event.Revision)
		}
	}
	return revisions, violations
}

// refusedAndShown: a put was rejected and its value is shown, or a refusal names a
// revision that the key never had.
func refusedAndShown(h *CoordinationHistory, revisions map[string]shownValue) (violations []string) {
	had := map[shownValue]bool{}
	for _, shown := range revisions {
		had[shown] = true
	}
	for _, call := range h.Keys {
		if !call.Put || call.Code == http.StatusOK || call.Code == 0 {
			continue
		}
		if _, shown := revisions[call.Value]; shown {
			violations = append(violations, fmt.Sprintf("REFUSED: %q got %d and is shown", call.Value, call.Code))
		}
		if call.Code == http.StatusPreconditionFailed && call.Revision != 0 && !had[shownValue{call.Key, call.Revision}] && !hasUnclearPut(h, call.Key) {
			violations = append(violations, fmt.Sprintf("MIXED: a refusal names revision %d, which %s never had", call.Revision, call.Key))
		}
	}
	return violations
}

// hasUnclearPut reports whether some put of a key may have got a revision that nobody saw.
func hasUnclearPut(h *CoordinationHistory, key string) bool {
	for _, call := range h.Keys {
		if call.Put && call.Key == key && call.Code == 0 {
			return true
		}
	}
	return false
}

// brokenWatches: the events of a watch don't rise, or skip a put in their span, or a
// revision that was given lately can't be resumed from.
func brokenWatches(h *CoordinationHistory, revisions map[string]shownValue, historyLength time.Duration) (violations []string) {
	given := map[string]map[int64]time.Time{} // the last time, by group and revision
	watches := append([]WatchAnswer(nil), h.Watches...)
	sort.SliceStable(watches, func(i, j int) bool { return watches[i].Done.Before(watches[j].Done) })
	for _, watch := range watches {
		if given[watch.Group] == nil {
			given[watch.Group] = map[int64]time.Time{}
		}
		if watch.Code == http.StatusGone {
			if at := given[watch.Group][watch.After]; !at.IsZero() && watch.Sent.Sub(at) < historyLength {
				violations = append(violations, fmt.Sprintf("LOST: %s can't be resumed from %d after %v", watch.Group, watch.After, watch.Sent.Sub(at)))
			}
			continue
		}
		given[watch.Group][watch.WatchResult.Revision] = watch.Done
		if watch.After == 0 && len(watch.WatchResult.Events) == 0 {
			continue
		}
		shown, last := map[int64]bool{}, watch.After
		for _, event := range watch.WatchResult.Events {
			if event.Revision <= last || event.Revision > watch.WatchResult.Revision {
				violations = append(violations, fmt.Sprintf("ORDER: a watch of %s shows %d after %d, up to %d", watch.Group, event.Revision, last, watch.WatchResult.Revision))
			}
			last, shown[event.Revision] = event.Revision, true
		}
		for value, put := range revisions {
			if strings.HasPrefix(put.key, watch.Group) && put.revision > watch.After && put.revision <= watch.WatchResult.Revision && !shown[put.revision] {
				violations = append(violations, fmt.Sprintf("ORDER: a watch of %s from %d to %d skips %d, %q", watch.Group, watch.After, watch.WatchResult.Revision, put.revision, value))
			}
		}
	}
	return violations
}

// keyState is the state of one key in the model: the revision and the value.
type keyState struct {
	revision int64
	value    string
}

// step is the sequential meaning of a call: a register that is written under the condition
// of its revision.
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

// nonLinearizableKeys: the calls of a key can't be put into an order, each between its
// sending and its answer, in which each has the answer that it got. A put without a clear
// answer took effect if its value was ever shown, at any time after its sending; if its
// value was never shown nobody could know, and it is left out.
func nonLinearizableKeys(h *CoordinationHistory, revisions map[string]shownValue) (violations []string) {
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
