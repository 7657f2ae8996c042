package api

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// evacuationAttempts is how often a daemon reads and updates a zone's evacuation order if
// concurrent orders conflict.
const evacuationAttempts = 3

// serveEvacuationBegin serves POST /-/Evacuation.Begin/ZONE: the zone's runners get no new
// work. It responds with 200 once the order is committed, also if it is repeated.
func (s *Server) serveEvacuationBegin(c echo.Context) error { return s.serveEvacuation(c, true) }

// serveEvacuationFinish serves POST /-/Evacuation.Finish/ZONE: the zone's runners get new
// work again.
func (s *Server) serveEvacuationFinish(c echo.Context) error { return s.serveEvacuation(c, false) }

// serveEvacuation forwards an operator's evacuation order to the leader. It responds with 404 for a
// zone that the settings don't name.
func (s *Server) serveEvacuation(c echo.Context, evacuated bool) error {
	zone := c.Param("zone")
	if _, known := s.settings.Zones[zone]; !known && (len(s.settings.Zones) > 0 || !validName(zone)) {
		return writeStatusError(c, &statusError{status: http.StatusNotFound, text: "no such zone"})
	}
	// Operators send an order to another daemon after a second, so one that waited here while the process
	// was paused may be followed by others that were acknowledged.
	deadline := s.pauses.EarliestArrival(time.Now()).Add(controlRequestTimeout)
	ctx, cancel := s.operatorContext(c.Request().Context(), 0)
	defer cancel()
	if err := s.commitEvacuation(ctx, zone, evacuated, deadline); err != nil {
		return writeStatusError(c, statusOf(err))
	}
	return c.JSONBlob(http.StatusOK, []byte("{}"))
}

// commitEvacuation has an evacuation order for a zone committed. The request names the order in
// force that it replaces, so that a delayed copy that reaches the leader after a later order has no
// effect. The order in force must be known by the deadline, until which the operator waits: later, an
// order that the operator gave since may already be in force.
func (s *Server) commitEvacuation(ctx context.Context, zone string, evacuated bool, deadline time.Time) error {
	sent := false
	for range evacuationAttempts {
		response := s.Call(ctx, rpc.KindZoneEvacuation, zone)
		if err := errorOf(configRead, response); err != nil {
			if sent {
				return unknownOutcomeErrors[configChange]
			}
			return err
		}
		var order rpc.ZoneEvacuation
		if err := transport.Decode(response.Body, &order); err != nil {
			return err
		}
		if sent && order.Evacuated == evacuated {
			return nil // committed by an earlier attempt, or by an identical order
		}
		if sent {
			break // a different order was committed since
		}
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			return errLateOrder
		}
		order.Evacuated, sent = evacuated, true
		response = s.Call(ctx, rpc.KindEvacuateZone, order)
		if response.Code != rpc.CodePreconditionFailed {
			return errorOf(configChange, response)
		}
	}
	return errConcurrentOrder
}

// errLateOrder means that an order was not committed, since the operator may no longer wait for it.
var errLateOrder = &statusError{
	http.StatusServiceUnavailable, "the order was read too late to be carried out: send it again if it still holds", 1,
}

// errConcurrentOrder means that another order for the zone was committed at the same time.
var errConcurrentOrder = &statusError{
	http.StatusServiceUnavailable, "another order about the zone came meanwhile: send it again if it still holds", 1,
}
