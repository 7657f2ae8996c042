package clusterconfig

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

const baseConfig = `{"configVersion":7,"other":{"kept":1},"routeList":[{"name":"a","hostName":"h","pathPrefix":"/a/","timeoutMs":1,"targetService":"s","unknown":5},` +
	`{"name":"b","hostName":"h","pathPrefix":"/b/","timeoutMs":1,"targetService":"s"}],"serviceList":[{"name":"s"}]}`

// TestApplyChangeByItemName checks that items are replaced, added and removed by name,
// and that everything else is kept, including unknown fields.
func TestApplyChangeByItemName(t *testing.T) {
	change := `{"configVersion":9,"upsert":{"routeList":[{"name":"b","hostName":"h","pathPrefix":"/b2/","timeoutMs":2,"trafficSplit":[{"targetService":"s","share":9},{"targetService":"t","share":1}]},` +
		`{"name":"c","hostName":"h","pathPrefix":"/c/","timeoutMs":1,"targetService":"t"}],"serviceList":[{"name":"t"}]},"remove":{"routeList":["x"]}}`
	text, err := ApplyChange([]byte(baseConfig), []byte(change))
	if err != nil {
		t.Fatal(err)
	}
	config, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, route := range config.Routes {
		got = append(got, fmt.Sprint(route.Name, route.PathPrefix, len(route.Split)))
	}
	if strings.Join(got, " ") != "a/a/0 b/b2/2 c/c/0" || config.Version != 9 || len(config.Services) != 2 {
		t.Errorf("routes %v, version %d, services %v", got, config.Version, config.Services)
	}
	for _, kept := range []string{`"unknown":5`, `"kept":1`} {
		if !strings.Contains(string(text), kept) {
			t.Errorf("%s is missing from %s", kept, text)
		}
	}
	if text, err = ApplyChange(text, []byte(`{"configVersion":10,"remove":{"routeList":["a","c"]}}`)); err != nil {
		t.Fatal(err)
	}
	if config, err = Parse(text); err != nil || len(config.Routes) != 1 {
		t.Errorf("%+v, %v", config, err)
	}
}

// TestInvalidChangesAreRejected checks that an invalid change gives an error that names
// the problem.
func TestInvalidChangesAreRejected(t *testing.T) {
	for change, problem := range map[string]string{
		`{"configVersion":9,"upsert":{"routeList":[`:         "cannot be read whole",
		`{"configVersion":9,"upsert":{"roadList":[]}}`:       "upsert.roadList: no such list",
		`{"configVersion":9,"remove":{"limits":["a"]}}`:      "remove.limits: no such list",
		`{"configVersion":9,"upsert":{"routeList":{}}}`:      "routeList",
		`{"configVersion":9,"remove":{"serviceList":["s"]}}`: `"s" is not in serviceList`,
		`{"configVersion":9,"upsert":{"routeList":[{"name":"c","hostName":"h","pathPrefix":"/a/","timeoutMs":1,"targetService":"s"}]}}`:                              `same host and prefix as "a"`,
		`{"configVersion":9,"upsert":{"routeList":[{"name":"a","hostName":"h","pathPrefix":"/a/","timeoutMs":1,"trafficSplit":[{"targetService":"s","share":0}]}]}}`: "add up to 0",
		`{"configVersion":9,"upsert":{"routeList":[{"name":"a","hostName":"h","pathPrefix":"/a/","timeoutMs":1,"trafficSplit":[{"targetService":"x","share":1}]}]}}`: `"x" is not in serviceList`,
	} {
		text, err := ApplyChange([]byte(baseConfig), []byte(change))
		if err == nil {
			_, err = Parse(text)
		}
		if err == nil || !strings.Contains(err.Error(), problem) {
			t.Errorf("%s: %v, want %q", change, err, problem)
		}
	}
}

// TestTrafficSplitFollowsShares checks that services are chosen in proportion to their
// shares, and one with a share of 0 never.
func TestTrafficSplitFollowsShares(t *testing.T) {
	route := &Route{TargetService: "x", Split: []SplitPart{{"a", 90}, {"none", 0}, {"b", 10}}}
	random, counts := rand.New(rand.NewSource(1)), map[string]int{}
	for range 10000 {
		counts[route.ServiceFor(random.Float64())]++
	}
	if counts["a"] < 8800 || counts["a"] > 9200 || counts["a"]+counts["b"] != 10000 {
		t.Errorf("%v of 10000", counts)
	}
	if last := route.ServiceFor(0.9999999999); last != "b" {
		t.Errorf("a draw at the end of the range chose %q, want \"b\"", last)
	}
	if (&Route{TargetService: "x"}).ServiceFor(0.5) != "x" {
		t.Error("a route without a traffic split did not choose its targetService")
	}
}

// FuzzApplyChange checks that no input makes ApplyChange panic, and that its result is
// valid JSON.
func FuzzApplyChange(f *testing.F) {
	f.Add([]byte(baseConfig), []byte(`{"configVersion":9,"upsert":{"routeList":[{"name":"c"}]}}`))
	f.Add([]byte(""), []byte(`{}`))
	f.Add([]byte("null"), []byte(`null`))
	f.Fuzz(func(t *testing.T, base, change []byte) {
		text, err := ApplyChange(base, change)
		if err == nil && !json.Valid(text) {
			t.Errorf("%q changed by %q gives %q", base, change, text)
		}
	})
}
