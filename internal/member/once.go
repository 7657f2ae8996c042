package member

import (
	"context"
	"time"

	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// AskAt asks one daemon once, on a connection of its own, and waits for at most
// that long.
func AskAt(ctx context.Context, addr, kind string, body []byte, most time.Duration) (Answer, error) {
	got := make(chan Answer, 1)
	s, err := transport.Dial(ctx, addr, func(e transport.Event) {
		var answer Answer
		if !e.Closed && e.Frame.Kind == FrameAnswer && e.Frame.ID == 1 && transport.Decode(e.Frame.Body, &answer) == nil {
			select {
			case got <- answer:
			default:
			}
		}
	})
	if err != nil {
		return Answer{}, err
	}
	defer s.Close()
	s.Send(transport.Frame{Kind: FrameAsk, ID: 1, Body: transport.Encode(Ask{Kind: kind, Body: body})})
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case answer := <-got:
		return answer, nil
	case <-s.Done():
		return Answer{}, transport.Error.New("%s ended the stream", addr)
	case <-timer.C:
		return Answer{}, transport.Error.New("%s did not answer", addr)
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// AnswerTrace answers AskTrace from a daemon's own ring buffer.
func AnswerTrace(ring *tracing.Ring, node, role string, id []byte) Answer {
	traced := Traced{Node: node, Role: role}
	traced.Marks, traced.Since = ring.History(string(id))
	return Answer{Code: 200, Body: transport.Encode(traced)}
}
