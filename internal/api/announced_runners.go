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

// announcementTimeout limits the time in which an announcement reaches the leader. It is below one
// second, after which runners switch to another daemon.
const announcementTimeout = 800 * time.Millisecond

// serveRunnerHeartbeat serves POST /-/Runners.Heartbeat/ID, a protocol.Heartbeat from a runner that
// no platform lists. It responds with 200 once the leader's list of runners includes the heartbeat.
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
			WarmUpMs: heartbeat.WarmupLeftMs,
		},
	})
}

// serveRunnerSignOff serves POST /-/Runners.SignOff/ID. It responds with 200 once the leader's list
// of runners includes the sign-off.
func (s *Server) serveRunnerSignOff(c echo.Context) error {
	return s.announceRunner(c, rpc.RunnerAnnouncement{Runner: registry.Runner{ID: c.Param("id")}, SignsOff: true})
}

// announceRunner forwards a runner's announcement to the leader.
func (s *Server) announceRunner(c echo.Context, announcement rpc.RunnerAnnouncement) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), announcementTimeout)
	defer cancel()
	if response := s.Call(ctx, rpc.KindAnnounceRunner, announcement); response.Code != rpc.CodeOK {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSONBlob(http.StatusOK, []byte("{}"))
}
