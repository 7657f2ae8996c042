package sim

import (
	"context"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/member"
)

// leaderOf asks a daemon who leads.
func leaderOf(c *Cluster, at string) string {
	ctx, stop := context.WithTimeout(link.On(context.Background(), c.Net.Host(c.ip(251))), time.Second)
	defer stop()
	got := make(chan member.View, 1)
	s, err := link.Dial(ctx, c.IP(at)+":7720", func(e link.Event) {
		var a member.Answer
		var v member.View
		if !e.Gone && link.Unpack(e.Frame.Body, &a) == nil && link.Unpack(a.Body, &v) == nil {
			select {
			case got <- v:
			default:
			}
		}
	})
	if err != nil {
		return ""
	}
	defer s.Close()
	s.Send(link.Frame{Kind: member.FrameAsk, Body: link.Pack(member.Ask{Kind: member.AskLead})})
	select {
	case v := <-got:
		if v.Leads {
			return at
		}
		for n, d := range c.daemons {
			if d.ip+":7720" == v.Lead {
				return n
			}
		}
	case <-ctx.Done():
	}
	return ""
}
