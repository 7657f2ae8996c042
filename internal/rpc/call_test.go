package rpc_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/simulation"
	"tealpond/internal/transport"
)

// TestCallReturnsResponseOrError checks that Call returns the first response to its request, and an error within
// the timeout if the daemon does not respond, closes the stream or responds to another request.
func TestCallReturnsResponseOrError(t *testing.T) {
	const timeout = time.Second
	respond := func(event transport.Event, id uint64, value int64) {
		event.Stream.Send(transport.Frame{Kind: rpc.FrameResponse, ID: id, Body: transport.Encode(rpc.Response{Code: rpc.CodeOK, Value: value})})
	}
	for _, test := range []struct {
		name   string
		handle func(event transport.Event)
		ok     bool
	}{
		{"one response", func(event transport.Event) { respond(event, event.Frame.ID, 7) }, true},
		{"two responses", func(event transport.Event) { respond(event, event.Frame.ID, 7); respond(event, event.Frame.ID, 8) }, true},
		{"a response to another request", func(event transport.Event) { respond(event, event.Frame.ID+1, 7) }, false},
		{"stream is closed", func(event transport.Event) { event.Stream.Close() }, false},
		{"no response", func(transport.Event) {}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			network := simulation.NewNetwork()
			ctx, cancel := context.WithCancel(t.Context())
			err := transport.Serve(transport.WithNetwork(ctx, network.Host("10.0.0.1")), "10.0.0.1:1", func(event transport.Event) {
				if !event.Closed && event.Frame.Kind == rpc.FrameRequest {
					test.handle(event)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			response, err := rpc.Call(transport.WithNetwork(ctx, network.Host("10.0.0.2")), "10.0.0.1:1", rpc.KindLeader, nil, timeout)
			if ok := err == nil; ok != test.ok || ok && response.Value != 7 {
				t.Errorf("%s: %+v, %v", test.name, response, err)
			}
			if took := time.Since(start); took > timeout+100*time.Millisecond {
				t.Errorf("%s: Call took %v", test.name, took)
			}
			cancel()
			network.TakeDown("10.0.0.1")
			time.Sleep(10 * time.Second)
		})
	}
}
