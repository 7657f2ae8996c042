package protocol

import (
	"reflect"
	"testing"
)

// TestDecodeRunLists checks that rows that are too short are skipped, and that a value of an unexpected
// type decodes as the zero value.
func TestDecodeRunLists(t *testing.T) {
	response := KeepAliveResponse{
		Running: [][]any{{"a", 1.0, "saved", 40.0}, {"b", 2.0, ""}, {"c", "2", nil, 5.0}},
		Ended:   [][]any{{7.0, "a", 1.0, "done", "saved"}, {8.0, "b", 1.0, "done"}, {"9", "c", 2.0, nil, ""}},
	}
	running := []RunProgress{{Task: "a", Run: 1, Checkpoint: "saved", Percent: 40}, {Task: "c", Percent: 5}}
	if got := response.Progress(); !reflect.DeepEqual(got, running) {
		t.Errorf("running: %+v, want %+v", got, running)
	}
	ended := []Completion{{Sequence: 7, Task: "a", Run: 1, Result: ResultDone, Checkpoint: "saved"}, {Task: "c", Run: 2}}
	if got := response.Completions(); !reflect.DeepEqual(got, ended) {
		t.Errorf("ended: %+v, want %+v", got, ended)
	}
}
