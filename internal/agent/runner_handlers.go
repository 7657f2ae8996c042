package agent

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/protocol"
)

// serveHeartbeat serves POST /-/Runners.Heartbeat/ID with a protocol.Heartbeat:
// 200 once the runner is registered, and its draining committed if it drains.
func (a *Agent) serveHeartbeat(c echo.Context) error {
	var heartbeat protocol.Heartbeat
	if err := c.Echo().JSONSerializer.Deserialize(c, &heartbeat); err != nil {
		return c.String(http.StatusBadRequest, "the beat cannot be read")
	}
	request := &heartbeatRequest{id: c.Param("id"), heartbeat: heartbeat.Bounded(), status: make(chan int, 1)}
	return a.respond(c, event{heartbeat: request}, request.status)
}

// serveSignOff serves POST /-/Runners.SignOff/ID: 200 once the sign-off is committed.
func (a *Agent) serveSignOff(c echo.Context) error {
	request := &signOffRequest{id: c.Param("id"), status: make(chan int, 1)}
	return a.respond(c, event{signOff: request}, request.status)
}

// respond passes an event to the event loop and responds with the resulting status, or with 503 if
// there is none within heartbeatTimeout.
func (a *Agent) respond(c echo.Context, e event, status chan int) error {
	a.send(e)
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	select {
	case code := <-status:
		if code == http.StatusOK {
			return c.JSONBlob(http.StatusOK, []byte("{}"))
		}
		return c.NoContent(code)
	case <-timer.C:
		return c.NoContent(http.StatusServiceUnavailable)
	case <-a.ctx.Done():
		return c.NoContent(http.StatusServiceUnavailable)
	}
}
