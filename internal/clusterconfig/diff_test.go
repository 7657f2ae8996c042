package clusterconfig

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
	"sort"
	"testing"
)

// TestApplyingDiffsGivesTheNextConfiguration checks, over random changes, that a daemon
// that receives changes gets the same routes, services, tenants and limits as one that
// receives whole configurations.
func TestApplyingDiffsGivesTheNextConfiguration(t *testing.T) {
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		text := randomConfiguration(random, 1)
		applied := text
		for version := 2; version < 30; version++ {
			next := randomConfiguration(random, version)
			change, ok := Diff(text, next)
			if !ok {
				t.Fatalf("seed %d: no diff from\n%s to\n%s", seed, text, next)
			}
			changed, err := ApplyChange(applied, change)
			if err != nil {
				t.Fatal(err)
			}
			requireSameItems(t, changed, next)
			text, applied = next, changed
		}
	}
}

// randomConfiguration returns a configuration with random routes, services and tenants.
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

// requireSameItems compares two configurations regardless of the order of their items.
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

// TestDiffRejectsInexpressibleChanges checks that Diff returns false where changes of
// single items can't express the difference.
func TestDiffRejectsInexpressibleChanges(t *testing.T) {
	base := `{"configVersion":1,"routeList":[{"name":"a"}],"other":1}`
	for _, next := range []string{
		`{"configVersion":2,"routeList":[{"name":"a"}],"other":2}`,
		`{"configVersion":2,"routeList":[{"name":"a"}]}`,
		`{`,
	} {
		if change, ok := Diff([]byte(base), []byte(next)); ok {
			t.Errorf("%s: got change %s, want none", next, change)
		}
	}
	if _, ok := Diff([]byte(`{"routeList":[{"name":"a"},{"name":"a"}]}`), []byte(`{"routeList":[{"name":"a"}]}`)); ok {
		t.Error("got a change for a list with duplicate names, want none")
	}
}
