package server

import (
	"context"
	"time"

	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// formatQueryInterval is the interval at which the leader asks the servers again that have not told
// the formats that they support.
const formatQueryInterval = 200 * time.Millisecond

// A newer format of the state is put into force once every server supports it, since a server that
// does not would end when it applies the command. Programs without format queries don't answer them.

// frameFormat carries a formatMessage between servers.
const frameFormat = byte(69)

// formatMessage is the leader's query for the formats that a server supports, or the answer.
type formatMessage struct {
	_       struct{} `cbor:",toarray"`
	From    string   // the ID of a member's disk
	To      string
	Newest  int // the newest format that the sender supports
	IsQuery bool
}

// formatExchange is what a leader knows of the formats that other servers support.
type formatExchange struct {
	newest   map[string]int // by member ID
	askedAt  time.Time
	proposed bool // a newer format is proposed but not yet applied
}

// raiseFormat proposes the newest format of this program once all voters and candidates support it.
// Until then it asks those that have not answered.
func (r *Replica) raiseFormat(ctx context.Context, now time.Time) {
	if !r.leading || r.node == nil {
		r.formats = formatExchange{}
		return
	}
	formats := &r.formats
	if r.state.Format >= state.FormatVersion || formats.proposed {
		return
	}
	unknown := r.membersWithout(state.FormatVersion)
	if len(unknown) == 0 {
		formats.proposed = true
		r.enqueueCommand(state.CommandRaiseFormat, &state.RaiseFormat{Version: state.FormatVersion}, func(outcome state.Outcome, known bool) {
			r.formats.proposed = false
			if known {
				_ = r.log.Log("level", "info", "event", "format.raised", "format", outcome.Value)
			}
		})
		return
	}
	if now.Sub(formats.askedAt) < formatQueryInterval {
		return
	}
	formats.askedAt = now
	for _, member := range unknown {
		r.sendFormat(ctx, formatMessage{To: member, IsQuery: true})
	}
}

// membersWithout returns the IDs of the other voters and of the candidates that are not known to
// support a format.
func (r *Replica) membersWithout(format int) []string {
	var members []string
	add := func(id string) {
		if id != r.self.ID && r.formats.newest[id] < format {
			members = append(members, id)
		}
	}
	for _, voter := range r.node.Voters() {
		add(voter.ID)
	}
	for id := range r.membership.candidates {
		if !r.node.IsVoter(id) {
			add(id)
		}
	}
	return members
}

// sendFormat sends a message with the newest format that this program supports.
func (r *Replica) sendFormat(ctx context.Context, message formatMessage) {
	message.From, message.Newest = r.self.ID, state.FormatVersion
	r.sendFrame(ctx, message.To, transport.Frame{Kind: frameFormat, Body: transport.Encode(message)})
}

// handleFormatMessage answers a query, or records the answer to one.
func (r *Replica) handleFormatMessage(ctx context.Context, body []byte, stream *transport.Stream) {
	var message formatMessage
	if transport.Decode(body, &message) != nil || message.To != r.self.ID || r.node == nil {
		return
	}
	if message.IsQuery {
		r.peers.inbound[message.From] = stream
		r.sendFormat(ctx, formatMessage{To: message.From})
		return
	}
	if r.formats.newest == nil {
		r.formats.newest = map[string]int{}
	}
	r.formats.newest[message.From] = message.Newest
}
