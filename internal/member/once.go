package member

import (
	"context"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/trace"
)

// AskAt asks one daemon once, on a stream of its own, and waits so long.
func AskAt(ctx context.Context, addr, kind string, body []byte, most time.Duration) (Answer, error) {
	got := make(chan Answer, 1)
	s, err := link.Dial(ctx, addr, func(e link.Event) {
		var a Answer
		if !e.Gone && e.Frame.Kind == FrameAnswer && e.Frame.ID == 1 && link.Unpack(e.Frame.Body, &a) == nil {
			select {
			case got <- a:
			default:
			}
		}
	})
	if err != nil {
		return Answer{}, err
	}
	defer s.Close()
	s.Send(link.Frame{Kind: FrameAsk, ID: 1, Body: link.Pack(Ask{Kind: kind, Body: body})})
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case a := <-got:
		return a, nil
	case <-s.Done():
		return Answer{}, link.Error.New("%s ended the stream", addr)
	case <-t.C:
		return Answer{}, link.Error.New("%s did not answer", addr)
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// AnswerTrace answers AskTrace from a daemon's own ring.
func AnswerTrace(r *trace.Ring, node, role string, id []byte) Answer {
	t := Traced{Node: node, Role: role}
	t.Marks, t.Since = r.Of(string(id))
	return Answer{Code: 200, Body: link.Pack(t)}
}
