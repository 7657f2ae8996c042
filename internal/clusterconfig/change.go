package clusterconfig

import (
	"encoding/json"
	"strings"
)

// listNames are the lists of a configuration whose items a change may name.
var listNames = []string{"routeList", "serviceList", "tenantList"}

// change is a change of single items of a configuration, as operators send it.
type change struct {
	Version int64                      `json:"configVersion"`
	Upsert  map[string]json.RawMessage `json:"upsert"`
	Remove  map[string][]string        `json:"remove"`
}

// ApplyChange makes the text of the configuration that a change turns another one into:
// items are added, replaced or removed by their names, and all else stays as it was. The
// result is still to be parsed. The error is of class Error.
func ApplyChange(base, raw []byte) ([]byte, error) {
	var c change
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, Error.New("the change cannot be read whole: %v", err)
	}
	whole := map[string]json.RawMessage{}
	if len(base) > 0 {
		if err := json.Unmarshal(base, &whole); err != nil {
			return nil, Error.New("the configuration in force cannot be read: %v", err)
		}
	}
	if whole == nil {
		return nil, Error.New("no configuration is in force")
	}
	for _, name := range listNames {
		list, err := changeList(whole[name], c.Upsert[name], c.Remove[name])
		if err != nil {
			return nil, Error.New("%s: %v", name, err)
		}
		if list != nil {
			whole[name] = list
		}
	}
	if limits, ok := c.Upsert["limits"]; ok {
		whole["limits"] = limits
	}
	if problems := unknownLists(&c); len(problems) > 0 {
		return nil, Error.New("%s", strings.Join(problems, "; "))
	}
	version, err := json.Marshal(c.Version)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	whole["configVersion"] = version
	text, err := json.Marshal(whole)
	return text, Error.Wrap(err)
}

// unknownLists names the lists of a change that no configuration has.
func unknownLists(c *change) []string {
	known := map[string]bool{"limits": true}
	for _, name := range listNames {
		known[name] = true
	}
	var problems []string
	for name := range c.Upsert {
		if !known[name] {
			problems = append(problems, "upsert."+name+": no such list")
		}
	}
	for name := range c.Remove {
		if !known[name] || name == "limits" {
			problems = append(problems, "remove."+name+": no such list")
		}
	}
	return problems
}

// changeList changes the items of one list; nil if there is nothing to change.
func changeList(list, upsert json.RawMessage, remove []string) (json.RawMessage, error) {
	if len(upsert) == 0 && len(remove) == 0 {
		return nil, nil
	}
	items, err := namedItems(list)
	if err != nil {
		return nil, err
	}
	changed, err := namedItems(upsert)
	if err != nil {
		return nil, err
	}
	replaced := map[string]json.RawMessage{}
	for _, item := range changed {
		replaced[item.name] = item.raw
	}
	removed := map[string]bool{}
	for _, name := range remove {
		removed[name] = true
	}
	result := []json.RawMessage{}
	for _, item := range items {
		if removed[item.name] {
			continue
		}
		if raw, ok := replaced[item.name]; ok {
			item.raw = raw
			delete(replaced, item.name)
		}
		result = append(result, item.raw)
	}
	for _, item := range changed {
		if raw, ok := replaced[item.name]; ok {
			result = append(result, raw)
			delete(replaced, item.name)
		}
	}
	return json.Marshal(result)
}

// namedItem is an item of a list with its name.
type namedItem struct {
	name string
	raw  json.RawMessage
}

// namedItems splits a list into its items; no text is an empty list.
func namedItems(list json.RawMessage) ([]namedItem, error) {
	if len(list) == 0 {
		return nil, nil
	}
	var raws []json.RawMessage
	if err := json.Unmarshal(list, &raws); err != nil {
		return nil, err
	}
	items := make([]namedItem, len(raws))
	for i, raw := range raws {
		var named struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(raw, &named); err != nil {
			return nil, err
		}
		items[i] = namedItem{named.Name, raw}
	}
	return items, nil
}
