package api

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/protocol"
	"tealpond/internal/registry"
	"tealpond/internal/rpc"
)

// announcementTimeout bounds the way of a heartbeat to the leader; runners turn to another daemon
// after a second.
const announcementTimeout = 800 * time.Millisecond

// serveRunnerHeartbeat serves POST /-/Runners.Heartbeat/ID with a protocol.Heartbeat, of a
// gateway's runner that no platform lists: 200 once the leader's list has what it says.
func (s *Server) serveRunnerHeartbeat(c echo.Context) error {
	var heartbeat protocol.Heartbeat
	if err := c.Echo().JSONSerializer.Deserialize(c, &heartbeat); err != nil {
		return c.String(http.StatusBadRequest, "the heartbeat cannot be read")
	}
	return s.announceRunner(c, rpc.RunnerAnnouncement{
		Sequence: heartbeat.Sequence,
		Runner: registry.Runner{
			ID:       c.Param("id"),
			Service:  heartbeat.Service,
			Address:  heartbeat.Address,
			Zone:     heartbeat.Zone,
			Slots:    heartbeat.Slots,
			Draining: heartbeat.State == protocol.RunnerDraining,
			ColdMs:   heartbeat.WarmupLeftMs,
		},
	})
}

// serveRunnerSignOff serves POST /-/Runners.SignOff/ID: 200 once the leader's list has it.
func (s *Server) serveRunnerSignOff(c echo.Context) error {
	return s.announceRunner(c, rpc.RunnerAnnouncement{Runner: registry.Runner{ID: c.Param("id")}, SignsOff: true})
}

// announceRunner passes on to the leader what a runner says of itself.
func (s *Server) announceRunner(c echo.Context, announcement rpc.RunnerAnnouncement) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), announcementTimeout)
	defer cancel()
	if response := s.Call(ctx, rpc.KindAnnounceRunner, announcement); response.Code != rpc.CodeOK {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSONBlob(http.StatusOK, []byte("{}"))
}
