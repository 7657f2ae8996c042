package rpc

import (
	"context"
	"time"

	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// callID is the frame ID of the one request of a Call.
const callID = 1

// Call sends one request to one daemon, on a connection of its own, and waits for
// the response for at most the timeout. The error is of class transport.Error, or
// that of the context: whether the request had an effect is then unknown.
func Call(ctx context.Context, addr, kind string, body []byte, timeout time.Duration) (Response, error) {
	responses := make(chan Response, 1)
	stream, err := transport.Dial(ctx, addr, func(event transport.Event) {
		var response Response
		isResponse := !event.Closed && event.Frame.Kind == FrameResponse && event.Frame.ID == callID
		if isResponse && transport.Decode(event.Frame.Body, &response) == nil {
			select {
			case responses <- response:
			default:
			}
		}
	})
	if err != nil {
		return Response{}, err
	}
	defer stream.Close()
	stream.Send(transport.Frame{Kind: FrameRequest, ID: callID, Body: transport.Encode(Request{Kind: kind, Body: body})})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case response := <-responses:
		return response, nil
	case <-stream.Done():
		return Response{}, transport.Error.New("%s ended the stream", addr)
	case <-timer.C:
		return Response{}, transport.Error.New("%s did not answer", addr)
	case <-ctx.Done():
		return Response{}, ctx.Err()
	}
}

// HandleTrace answers KindTrace from a daemon's own ring of events; id is the name
// of the change.
func HandleTrace(ring *tracing.Ring, node, role string, id []byte) Response {
	result := TraceResult{Node: node, Role: role}
	result.Events, result.Since = ring.History(string(id))
	return Response{Code: CodeOK, Body: transport.Encode(result)}
}
