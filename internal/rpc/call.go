package rpc

import (
	"context"
	"time"

	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// callID is the frame ID of the single request of a Call.
const callID = 1

// Call sends one request to one daemon on a new connection, and waits for
// the response for at most the timeout. The error is of class transport.Error, or
// that of the context. After an error it is unknown whether the request took effect.
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
		return Response{}, transport.Error.New("%s closed the stream before it responded", addr)
	case <-timer.C:
		return Response{}, transport.Error.New("%s did not respond in time", addr)
	case <-ctx.Done():
		return Response{}, ctx.Err()
	}
}

// HandleTrace handles a KindTrace request with the event ring buffer of the daemon. The id is the name
// of the traced change.
func HandleTrace(ring *tracing.Ring, node, role string, id []byte) Response {
	result := TraceResult{Node: node, Role: role}
	result.Events, result.Since = ring.History(string(id))
	return Response{Code: CodeOK, Body: transport.Encode(result)}
}
