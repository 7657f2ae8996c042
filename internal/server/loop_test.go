package server

import (
	"testing"
	"testing/synctest"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// TestCallsAfterLoopEndDoNotBlock checks that events posted after the event loop has returned, more
// than its queue can hold, block no sender, and that each request gets a response.
func TestCallsAfterLoopEndDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := newReplica()
		replica.events, replica.ended = make(chan loopEvent, 1), make(chan struct{})
		close(replica.ended)
		responses := 0
		for range 3 {
			replica.Deliver(transport.Event{Closed: true})
			replica.HandleLocal(rpc.Request{}, func(response rpc.Response) {
				if response.Code == rpc.CodeNoLeader {
					responses++
				}
			})
		}
		replica.Leave()
		if queued := len(replica.events); responses+queued < 3 {
			t.Errorf("%d of 3 requests got a response", responses)
		}
	})
}
