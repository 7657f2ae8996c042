package server

import (
	"testing"
	"testing/synctest"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// TestNobodyWaitsForALoopThatEnded: what comes in after the loop has ended, more than
// its queue holds, blocks nobody, and a request gets a response.
func TestNobodyWaitsForALoopThatEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := newReplica()
		replica.events, replica.ended = make(chan loopEvent, 1), make(chan struct{})
		close(replica.ended)
		answers := 0
		for range 3 {
			replica.Deliver(transport.Event{Closed: true})
			replica.HandleLocal(rpc.Request{}, func(response rpc.Response) {
				if response.Code == rpc.CodeNoLeader {
					answers++
				}
			})
		}
		replica.Leave()
		if queued := len(replica.events); answers+queued < 3 {
			t.Errorf("%d of 3 requests got a response", answers)
		}
	})
}
