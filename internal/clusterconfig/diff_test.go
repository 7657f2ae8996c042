package clusterconfig

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
	"sort"
	"testing"
)

// TestDiffLeadsToTheSameConfiguration: over changes by lot, a daemon that is told changes
// has the routes, services, tenants and limits of one that is told the whole.
func TestDiffLeadsToTheSameConfiguration(t *testing.T) {
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		text := randomConfiguration(random, 1)
		told := text
		for version := 2; version < 30; version++ {
			next := randomConfiguration(random, version)
			change, ok := Diff(text, next)
			if !ok {
				t.Fatalf("seed %d: no change leads from\n%s to\n%s", seed, text, next)
			}
			whole, err := ApplyChange(told, change)
			if err != nil {
				t.Fatal(err)
			}
			requireSameItems(t, whole, next)
			text, told = next, whole
		}
	}
}

// randomConfiguration has routes, services and tenants by lot.
func randomConfiguration(random *rand.Rand, version int) []byte {
	config := map[string]any{"configVersion": version, "other": "kept", "limits": Limits{MaxBodyBytes: int64(random.Intn(3))}}
	for _, list := range listNames {
		items := []any{}
		for i := range 6 {
			if random.Intn(3) > 0 {
				items = append(items, map[string]any{"name": fmt.Sprint("n", i), "value": random.Intn(3)})
			}
		}
		random.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
		if len(items) > 0 {
			config[list] = items
		} else {
			config[list] = []any{map[string]any{"name": "only"}}
		}
	}
	raw, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	return raw
}

// requireSameItems compares two configurations, whatever the order of items.
func requireSameItems(t *testing.T, got, want []byte) {
	t.Helper()
	var a, b map[string]any
	if json.Unmarshal(got, &a) != nil || json.Unmarshal(want, &b) != nil {
		t.Fatalf("%s\n%s", got, want)
	}
	for _, config := range []map[string]any{a, b} {
		for _, list := range listNames {
			items := config[list].([]any)
			sort.Slice(items, func(i, j int) bool { return fmt.Sprint(items[i]) < fmt.Sprint(items[j]) })
		}
	}
	if !reflect.DeepEqual(a, b) {
		t.Fatalf("got\n%v, want\n%v", a, b)
	}
}

// TestDiffThatIsNone: what no change of items can express is told whole.
func TestDiffThatIsNone(t *testing.T) {
	base := `{"configVersion":1,"routeList":[{"name":"a"}],"other":1}`
	for _, next := range []string{
		`{"configVersion":2,"routeList":[{"name":"a"}],"other":2}`,
		`{"configVersion":2,"routeList":[{"name":"a"}]}`,
		`{`,
	} {
		if change, ok := Diff([]byte(base), []byte(next)); ok {
			t.Errorf("%s by %s", next, change)
		}
	}
	if _, ok := Diff([]byte(`{"routeList":[{"name":"a"},{"name":"a"}]}`), []byte(`{"routeList":[{"name":"a"}]}`)); ok {
		t.Error("a change of items whose names are not their own")
	}
}
