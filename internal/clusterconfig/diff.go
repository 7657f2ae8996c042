package clusterconfig

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Diff returns a change that ApplyChange can apply to base to get next. It returns false
// if changes of single items can't express the difference; next must then be sent whole.
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

// diffList returns the added and modified items of a list, as a JSON list, and the names of
// the removed items. It returns false if a list can't be decoded or if names are not unique
// in the old one.
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
	var modified []json.RawMessage
	missing := maps.Clone(known)
	for _, item := range after {
		raw, existed := known[item.name]
		if !existed || !bytes.Equal(raw, item.raw) {
			modified = append(modified, item.raw)
		}
		delete(missing, item.name)
	}
	removed = slices.Sorted(maps.Keys(missing))
	if len(modified) > 0 {
		if changed, err = json.Marshal(modified); err != nil {
			return nil, nil, false
		}
	}
	return changed, removed, true
}
