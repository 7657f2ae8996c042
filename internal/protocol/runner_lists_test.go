package protocol

import (
	"reflect"
	"testing"
)

// TestListsDecode: lines that are too short are left out, and a value of another
// kind reads as empty.
func TestListsDecode(t *testing.T) {
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
