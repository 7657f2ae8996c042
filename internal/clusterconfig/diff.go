package clusterconfig

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Diff makes a change, as ApplyChange takes it, that turns one configuration into another;
// false if no change of items can, and the other must be told whole.
func Diff(base, next []byte) ([]byte, bool) {
	var from, to map[string]json.RawMessage
	if json.Unmarshal(base, &from) != nil || json.Unmarshal(next, &to) != nil {
		return nil, false
	}
	upsert, remove := map[string]json.RawMessage{}, map[string][]string{}
	for _, name := range listNames {
		changed, removed, ok := diffList(from[name], to[name])
		if !ok {
			return nil, false
		}
		if len(changed) > 0 {
			upsert[name] = changed
		}
		if len(removed) > 0 {
			remove[name] = removed
		}
		delete(from, name)
		delete(to, name)
	}
	if limits, ok := to["limits"]; ok {
		if !bytes.Equal(from["limits"], limits) {
			upsert["limits"] = limits
		}
		delete(from, "limits")
		delete(to, "limits")
	}
	version := to["configVersion"]
	delete(from, "configVersion")
	delete(to, "configVersion")
	if !maps.EqualFunc(from, to, func(a, b json.RawMessage) bool { return bytes.Equal(a, b) }) {
		return nil, false
	}
	text, err := json.Marshal(map[string]any{"configVersion": version, "upsert": upsert, "remove": remove})
	return text, err == nil
}

// diffList returns the items of a list that are new or other than before, as a list, and the
// names of those that are gone; false for a list whose items have no names of their own.
func diffList(from, to json.RawMessage) (changed json.RawMessage, removed []string, ok bool) {
	before, err := namedItems(from)
	if err != nil {
		return nil, nil, false
	}
	after, err := namedItems(to)
	if err != nil {
		return nil, nil, false
	}
	known := map[string]json.RawMessage{}
	for _, item := range before {
		known[item.name] = item.raw
	}
	if len(known) != len(before) {
		return nil, nil, false
	}
	var other []json.RawMessage
	left := maps.Clone(known)
	for _, item := range after {
		raw, was := known[item.name]
		if !was || !bytes.Equal(raw, item.raw) {
			other = append(other, item.raw)
		}
		delete(left, item.name)
	}
	removed = slices.Sorted(maps.Keys(left))
	if len(other) > 0 {
		if changed, err = json.Marshal(other); err != nil {
			return nil, nil, false
		}
	}
	return changed, removed, true
}
