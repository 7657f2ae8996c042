package api

import (
	"context"
	"time"

	"tealpond/internal/bootstrap"
	"tealpond/internal/daemon"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// bootstrapRequest is a candidate's announcement with the channel for the reply.
type bootstrapRequest struct {
	message rpc.BootstrapAnnouncement
	reply   chan rpc.BootstrapProposal
}

// handleFrame responds to requests from other daemons if this daemon has no replica.
func (s *Server) handleFrame(event transport.Event) {
	if event.Closed || event.Frame.Kind != rpc.FrameRequest {
		return
	}
	var request rpc.Request
	if transport.Decode(event.Frame.Body, &request) != nil {
		event.Stream.Close()
		return
	}
	response := rpc.Response{Code: rpc.CodeNotLeader}
	switch request.Kind {
	case rpc.KindLeader:
		if len(request.Body) > 0 {
			s.discovery.AddServer(string(request.Body))
		}
		info := rpc.LeaderInfo{KnownServers: s.discovery.KnownServers()}
		response = rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(info)}
	case rpc.KindTrace:
		response = rpc.HandleTrace(s.env.Trace, s.settings.NodeName, s.role, request.Body)
	case rpc.KindBootstrap:
		var message rpc.BootstrapAnnouncement
		if transport.Decode(request.Body, &message) == nil {
			pending := bootstrapRequest{message, make(chan rpc.BootstrapProposal, 1)}
			s.bootstraps <- pending
			response = rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(<-pending.reply)}
		}
	}
	event.Stream.Send(transport.Frame{Kind: rpc.FrameResponse, ID: event.Frame.ID, Body: transport.Encode(response)})
}

// runBootstrap coordinates the bootstrap of a new cluster if this daemon has no replica, until ctx
// ends.
func (s *Server) runBootstrap(ctx context.Context) {
	coordinator := bootstrap.Coordinator{
		MinVoters: 2*s.settings.Tolerance.LostMachines + 1,
		Restarted: !s.settings.FirstStart,
	}
	daemon.Loop(ctx, s.bootstraps, func(request bootstrapRequest) {
		request.reply <- coordinator.HandleAnnouncement(request.message, time.Now())
	}, func(time.Time) time.Duration { return 0 })
}
