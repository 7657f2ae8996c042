// Package desire reads and checks the configurations that operators send.
package desire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of faults in a configuration.
var Error = errs.Class("configuration")

// Lane is a route: it directs one host and prefix, a queue, to a service.
type Lane struct {
	Name          string  `json:"name"`
	HostName      string  `json:"hostName"`
	PathPrefix    string  `json:"pathPrefix"`
	Kind          string  `json:"kind"`
	TimeoutMs     int64   `json:"timeoutMs"`
	TargetMs      int64   `json:"targetMs"`
	Priority      int     `json:"priority"`
	TargetService string  `json:"targetService"`
	MaxTries      int     `json:"maxTries"`
	Stretch       float64 `json:"stretch"`
}

// Service is a kind of runner.
type Service struct {
	Name   string `json:"name"`
	Guards bool   `json:"guards"`
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes"`
	MaxBodyBytes    int64 `json:"maxBodyBytes"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs"`
}

// State is one configuration, with the text as it was sent.
type State struct {
	Version  int64     `json:"configVersion"`
	Lanes    []Lane    `json:"routeList"`
	Services []Service `json:"serviceList"`
	Limits   Limits    `json:"limits"`
	Raw      []byte    `json:"-" cbor:"raw"`
}

// Read decodes a configuration and checks what its parts say of one another.
func Read(raw []byte) (*State, error) {
	var s State
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, Error.New("cannot be read whole: %v", err)
	}
	s.Raw = raw
	if bad := faults(&s); len(bad) > 0 {
		return nil, Error.New("%s", strings.Join(bad, "; "))
	}
	return &s, nil
}

// VersionOf gives the configVersion of a text without reading all of it, to name
// the text by: 0 if there is none or the text can't be read up to there.
func VersionOf(raw []byte) int64 {
	d := json.NewDecoder(bytes.NewReader(raw))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return 0
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return 0
		}
		if key == "configVersion" {
			var version int64
			if d.Decode(&version) != nil {
				return 0
			}
			return version
		}
		var skipped json.RawMessage
		if d.Decode(&skipped) != nil {
			return 0
		}
	}
	return 0
}

func faults(s *State) []string {
	var bad []string
	if s.Version <= 0 {
		bad = append(bad, "configVersion: missing or not above 0")
	}
	known := map[string]bool{}
	for i, v := range s.Services {
		if v.Name == "" {
			bad = append(bad, fmt.Sprintf("serviceList[%d].name: missing", i))
		}
		if known[v.Name] {
			bad = append(bad, fmt.Sprintf("serviceList[%d].name: %q stands twice", i, v.Name))
		}
		known[v.Name] = true
	}
	place, name := map[string]string{}, map[string]bool{}
	for i, l := range s.Lanes {
		at := func(f, why string) { bad = append(bad, fmt.Sprintf("routeList[%d].%s: %s", i, f, why)) }
		if l.Name == "" {
			at("name", "missing")
		}
		if name[l.Name] {
			at("name", fmt.Sprintf("%q stands twice", l.Name))
		}
		name[l.Name] = true
		if l.HostName == "" {
			at("hostName", "missing")
		}
		if !strings.HasPrefix(l.PathPrefix, "/") {
			at("pathPrefix", "does not begin with /")
		}
		if l.TimeoutMs <= 0 {
			at("timeoutMs", "not above 0")
		}
		if !known[l.TargetService] {
			at("targetService", fmt.Sprintf("%q is not in serviceList", l.TargetService))
		}
		key := strings.ToLower(l.HostName) + " " + l.PathPrefix
		if o, ok := place[key]; ok {
			at("pathPrefix", fmt.Sprintf("same host and prefix as %q", o))
		}
		place[key] = l.Name
	}
	return bad
}

// Table finds routes.
type Table struct {
	hosts map[string][]*Lane
}

// NewTable sorts the routes by host, longest prefix first.
func NewTable(s *State) *Table {
	t := &Table{hosts: map[string][]*Lane{}}
	for i := range s.Lanes {
		l := &s.Lanes[i]
		h := strings.ToLower(l.HostName)
		t.hosts[h] = append(t.hosts[h], l)
	}
	for _, ls := range t.hosts {
		sort.SliceStable(ls, func(a, b int) bool { return len(ls[a].PathPrefix) > len(ls[b].PathPrefix) })
	}
	return t
}

// Find gives the route of a call and what follows its prefix.
func (t *Table) Find(host, path string) (*Lane, string) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	for _, l := range t.hosts[host] {
		if strings.HasPrefix(path, l.PathPrefix) {
			return l, path[len(l.PathPrefix):]
		}
	}
	// The queue itself may be asked for without the slash that ends its prefix.
	for _, l := range t.hosts[host] {
		if path+"/" == l.PathPrefix {
			return l, ""
		}
	}
	return nil, ""
}
