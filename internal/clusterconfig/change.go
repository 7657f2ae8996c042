package clusterconfig

import (
	"encoding/json"
	"strings"
)

// listNames are the lists of a configuration whose items a change can upsert or
// remove.
var listNames = []string{"routeList", "serviceList", "tenantList"}

// change upserts and removes single items of a configuration, in the format that
// operators submit.
type change struct {
	Version int64                      `json:"configVersion"`
	Upsert  map[string]json.RawMessage `json:"upsert"`
	Remove  map[string][]string        `json:"remove"`
}

// ApplyChange applies a change to the configuration base and returns the JSON text of
// the result. Items are added, replaced or removed by name; everything else is kept. The
// caller must still parse the result. The error is of class Error.
func ApplyChange(base, raw []byte) ([]byte, error) {
	var c change
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, Error.New("the change cannot be read whole: %v", err)
	}
	config := map[string]json.RawMessage{}
	if len(base) > 0 {
		if err := json.Unmarshal(base, &config); err != nil {
			return nil, Error.New("the configuration in force cannot be read: %v", err)
		}
	}
	if config == nil {
		return nil, Error.New("no configuration is in force")
	}
	for _, name := range listNames {
		list, err := changeList(config[name], c.Upsert[name], c.Remove[name])
		if err != nil {
			return nil, Error.New("%s: %v", name, err)
		}
		if list != nil {
			config[name] = list
		}
	}
	if limits, ok := c.Upsert["limits"]; ok {
		config["limits"] = limits
	}
	if problems := unknownLists(&c); len(problems) > 0 {
		return nil, Error.New("%s", strings.Join(problems, "; "))
	}
	version, err := json.Marshal(c.Version)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	config["configVersion"] = version
	text, err := json.Marshal(config)
	return text, Error.Wrap(err)
}

// unknownLists returns a problem for each list of a change that is not part of a
// configuration.
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

// changeList applies upserts and removals to one list. It returns nil if there are
// none.
func changeList(list, upsert json.RawMessage, remove []string) (json.RawMessage, error) {
	if len(upsert) == 0 && len(remove) == 0 {
		return nil, nil
	}
	items, err := namedItems(list)
	if err != nil {
		return nil, err
	}
	upserts, err := namedItems(upsert)
	if err != nil {
		return nil, err
	}
	pending := map[string]json.RawMessage{}
	for _, item := range upserts {
		pending[item.name] = item.raw
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
		if raw, ok := pending[item.name]; ok {
			item.raw = raw
			delete(pending, item.name)
		}
		result = append(result, item.raw)
	}
	for _, item := range upserts {
		if raw, ok := pending[item.name]; ok {
			result = append(result, raw)
			delete(pending, item.name)
		}
	}
	return json.Marshal(result)
}

// namedItem is a list item with the value of its "name" field.
type namedItem struct {
	name string
	raw  json.RawMessage
}

// namedItems decodes a list into its items. An empty text counts as an empty list.
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
