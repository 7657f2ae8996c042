package server

import (
	"testing"
	"testing/synctest"

	"tealpond/internal/raft"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// answerFormat has another server answer the leader's query for the formats that it supports.
func (h *harness) answerFormat(from string, newest int) {
	message := formatMessage{From: from, To: h.replica.self.ID, Newest: newest}
	frame := transport.Frame{Kind: frameFormat, Body: transport.Encode(message)}
	h.replica.handleEvent(h.t.Context(), loopEvent{transport: &transport.Event{Frame: frame}})
}

// raiseFormat has all voters support the newest format, and waits until it is in force.
func (h *harness) raiseFormat() {
	h.t.Helper()
	h.answerFormat("b", state.FormatVersion)
	h.answerFormat("c", state.FormatVersion)
	for i := 0; h.replica.state.Format < state.FormatVersion; i++ {
		if i == 100 {
			h.t.Fatalf("format %d is not in force", state.FormatVersion)
		}
		h.runIteration()
	}
}

// TestFormatIsRaisedOnceAllServersSupportIt guards against a group of servers of two programs that
// diverges, or in which the earlier program ends: a newer format must wait for each voter and
// candidate, and one whose program has no format queries never answers.
func TestFormatIsRaisedOnceAllServersSupportIt(t *testing.T) {
	const newest, earlier = state.FormatVersion, state.FormatVersion - 1
	for name, c := range map[string]struct {
		answers   map[string]int
		candidate bool
		want      int
	}{
		"no answers":           {nil, false, state.FormatUnmarked},
		"one voter is silent":  {map[string]int{"b": newest}, false, state.FormatUnmarked},
		"one voter is earlier": {map[string]int{"b": newest, "c": earlier}, false, state.FormatUnmarked},
		"all voters":           {map[string]int{"b": newest, "c": newest}, false, newest},
		"later voters":         {map[string]int{"b": newest + 1, "c": newest}, false, newest},
		"candidate is silent":  {map[string]int{"b": newest, "c": newest}, true, state.FormatUnmarked},
		"with the candidate":   {map[string]int{"b": newest, "c": newest, "d": newest}, true, newest},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLeader(t)
				if c.candidate {
					h.replica.candidatesByID()["d"] = raft.Member{Node: "n-d", ID: "d"}
				}
				for voter, format := range c.answers {
					h.answerFormat(voter, format)
				}
				for range 50 {
					h.runIteration()
				}
				if got := h.replica.state.Format; got != c.want {
					t.Errorf("format %d, want %d", got, c.want)
				}
			})
		})
	}
}
